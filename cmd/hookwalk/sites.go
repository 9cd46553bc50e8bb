package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"
)

// sitesCommands show what a node knows about its peers.
type sitesCommands struct {
	Show sitesShow `cmd:"" help:"Print a running node's view of its peers: its own state and that of each member."`
}

type sitesShow struct {
	Addr string `required:"" placeholder:"HOST:PORT" help:"The address of the node's admin API (control in its configuration, or $ROUTER_CONTROL)."`
	JSON bool   `help:"Print the JSON response of the node."`
}

// peersView has the fields of a node's view that are printed. The node's response may have more.
type peersView struct {
	Self   string `json:"Self"`
	Site   string `json:"Site"`
	Digest string `json:"Digest"`
	Me     struct {
		Name  string `json:"Name"`
		Start uint64 `json:"Start"`
	} `json:"Me"`
	Sites map[string]struct {
		There int `json:"There"`
		Known int `json:"Known"`
	} `json:"Sites"`
	Members []struct {
		Name  string `json:"Name"`
		Site  string `json:"Site"`
		State string `json:"State"`
		Start uint64 `json:"Start"`
		ForMS int64  `json:"ForMS"`
	} `json:"Members"`
	Sent   int64  `json:"Sent"`
	Bad    int64  `json:"Bad"`
	Failed uint64 `json:"Failed"`
}

const (
	sitesShowTimeout = 3 * time.Second // for the whole response; a node that hangs must not block the operator
	maxViewBytes     = 4 << 20         // about ten thousand members
)

// SitesViewError reports that a node's view could not be read.
type SitesViewError struct {
	Addr string
	Err  error
}

func (e *SitesViewError) Error() string {
	return fmt.Sprintf("sites: %s: %v: check that this is the address of the node's admin API, and that its settings have a peers block", e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *SitesViewError) Unwrap() error { return e.Err }

// Run requests the view from the node and prints it.
func (c sitesShow) Run(out streams) error {
	ctx, cancel := context.WithTimeout(context.Background(), sitesShowTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Addr+"/control/sites", nil)
	if err != nil {
		return &SitesViewError{c.Addr, err}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return &SitesViewError{c.Addr, err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxViewBytes))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("answered %s: %.200s", resp.Status, text)
	}
	var view peersView
	if err == nil {
		err = json.Unmarshal(text, &view)
	}
	if err != nil {
		return &SitesViewError{c.Addr, err}
	}
	if c.JSON {
		_, err = out.stdout.Write(text)
		return err
	}
	fmt.Fprintf(out.stdout, "%s of %s, start %d: %s; view %s; %d bytes sent in packets, %d messages not read\n\n",
		view.Me.Name, view.Site, view.Me.Start, view.Self, view.Digest, view.Sent, view.Bad)
	w := tabwriter.NewWriter(out.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "MEMBER\tSITE\tSTATE\tSTART\tFOR")
	for _, m := range view.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", m.Name, m.Site, m.State, m.Start, (time.Duration(m.ForMS) * time.Millisecond).Round(100*time.Millisecond))
	}
	return w.Flush()
}
