package sweep

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
)

// Run runs the cells that have no results in the folder yet, on all cores, and then writes the results of all cells to
// results.jsonl and results.csv. It calls progress after each cell, from different goroutines but never concurrently.
func Run(ctx context.Context, g Grid, dir string, progress func(done, of int)) ([]Cell, error) {
	cells, err := g.Cells()
	if err != nil {
		return nil, err
	}
	folder := filepath.Join(dir, "cells")
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, fmt.Errorf("sweep: %w", err)
	}
	if err := runAll(ctx, cells, g.File, folder, progress); err != nil {
		return nil, fmt.Errorf("sweep: %w", err)
	}
	return cells, Write(dir, cells)
}

// runAll loads or runs all cells. It stops at the first error.
func runAll(ctx context.Context, cells []Cell, file, folder string, progress func(done, of int)) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	var workers sync.WaitGroup
	var mu sync.Mutex
	done := 0
	next := make(chan int)
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for i := range next {
				if err := cells[i].loadOrRun(file, folder); err != nil {
					stop(err)
					continue
				}
				mu.Lock()
				done++
				progress(done, len(cells))
				mu.Unlock()
			}
		})
	}
	sendIndexes(ctx, next, len(cells))
	workers.Wait()
	return context.Cause(ctx)
}

// sendIndexes sends the indexes of all cells until ctx is done, and then closes the channel.
func sendIndexes(ctx context.Context, next chan<- int, count int) {
	defer close(next)
	for i := range count {
		select {
		case next <- i:
		case <-ctx.Done():
			return
		}
	}
}
