//go:build !nolab

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"hookwalk.example/hookwalk/configversion"
	"hookwalk.example/hookwalk/internal/configapi"
	"hookwalk.example/hookwalk/internal/configclient"
)

// configCommands publish configuration versions and show where they are in force.
type configCommands struct {
	Publish configPublish `cmd:"" help:"Publish a new configuration version."`
	Status  configStatus  `cmd:"" help:"Print which version is in force at which node; status 0: the newest at all connected nodes."`
}

// controllerAddresses says which controllers a command asks.
type controllerAddresses struct {
	Controllers []string `default:"127.0.0.1:7400" env:"HOOKWALK_CONTROLLERS" placeholder:"HOST:PORT,..." help:"Addresses of some of the controllers (default: 127.0.0.1:7400)."`
}

const (
	publishTimeout = 10 * time.Second // for an answer; an election of a leader may happen in between
	statusTimeout  = 5 * time.Second  // for all controllers; those that are down must not hold up the report
	// maxDocumentRead is how much of a document's file is read: one byte more than any controller takes.
	maxDocumentRead = configapi.MaxDocumentBytes + 1
)

type configPublish struct {
	File     string   `arg:"" help:"The document: JSON with the configuration of one service or more; - reads standard input."`
	Replaces []string `placeholder:"CLUSTER" help:"Confirm that nodes of another cluster are to follow this one."`
	ID       string   `placeholder:"ID" help:"Repeat the request that had this ID: it adds no second version."`
	controllerAddresses
}

// Run publishes the document and prints its version.
func (c configPublish) Run(out streams) error {
	document, err := readDocumentFile(c.File)
	if err != nil {
		return err
	}
	request := configapi.PublishRequest{ID: c.ID, Document: document}
	if request.ID == "" {
		request.ID = configclient.NewID()
	}
	for _, cluster := range c.Replaces {
		request.Replaces = append(request.Replaces, configapi.Cluster(cluster))
	}
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	client := configclient.New(c.Controllers)
	reply, err := client.Publish(ctx, request)
	if err != nil {
		return publishError(err, c.File, request.ID)
	}
	fmt.Fprintf(out.stdout, "version %d\n", reply.Version)
	return nil
}

// publishError says what became of a request, and what to do.
func publishError(err error, file, id string) error {
	var apiError *configapi.Error
	if errors.As(err, &apiError) && apiError.Kind == configapi.ErrorOutcomeUnknown {
		return fmt.Errorf("config: %w; repeat it, which adds no second version: hookwalk config publish %s --id %s", err, file, id)
	}
	return fmt.Errorf("config: %w", err)
}

// readDocumentFile reads a document, which must be JSON of a size that a controller takes.
func readDocumentFile(path string) (json.RawMessage, error) {
	file := os.Stdin
	if path != "-" {
		opened, err := os.Open(path)
		if err != nil {
			return nil, fmt.Errorf("config: %w", err)
		}
		defer opened.Close()
		file = opened
	}
	text, err := io.ReadAll(io.LimitReader(file, maxDocumentRead))
	switch {
	case err != nil:
		return nil, fmt.Errorf("config: %w", err)
	case len(text) == maxDocumentRead:
		return nil, fmt.Errorf("config: %s is over %d bytes, the most that a document may have", path, configapi.MaxDocumentBytes)
	case !json.Valid(text):
		return nil, fmt.Errorf("config: %s is not JSON", path)
	}
	return text, nil
}

type configStatus struct {
	JSON bool `help:"As JSON."`
	controllerAddresses
}

// statusReport is what config status prints as JSON.
type statusReport struct {
	configversion.Rollout
	Complete    bool                         `json:"complete"`
	Controllers []configapi.ControllerStatus `json:"controllers"` // without their nodes
	Unreachable []string                     `json:"unreachable,omitempty"`
}

// Run asks all controllers and prints what they know. The exit code is exitFailed unless the rollout is complete.
func (c configStatus) Run(out streams) error {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	client := configclient.New(c.Controllers)
	statuses := client.Status(ctx)
	report := newStatusReport(statuses)
	if err := report.print(out.stdout, c.JSON); err != nil {
		return err
	}
	if !report.Complete {
		return exitStatus(exitFailed)
	}
	return nil
}

// newStatusReport merges what the controllers answered.
func newStatusReport(statuses configclient.Statuses) statusReport {
	report := statusReport{Rollout: configversion.MergeStatuses(statuses.Answers)}
	for _, answer := range statuses.Answers {
		answer.Nodes, answer.Controllers = nil, nil
		report.Controllers = append(report.Controllers, answer)
	}
	for _, failure := range statuses.Unreachable {
		report.Unreachable = append(report.Unreachable, failure.Error())
	}
	report.Complete = report.Rollout.Complete() && len(report.Unreachable) == 0
	return report
}

// print writes the report as tables, or as JSON.
func (r statusReport) print(to io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(to)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	if err := r.printNodes(to); err != nil {
		return err
	}
	if err := r.printControllers(to); err != nil {
		return err
	}
	for _, failure := range r.Unreachable {
		fmt.Fprintln(to, failure)
	}
	fmt.Fprintf(to, "\nversion %d of cluster %s: in force at %d nodes, %d lag, %d rejected it, %d are away; %d controllers answered, %d did not\n",
		r.Version, r.Cluster, r.Current, r.Lagging, r.Rejected, r.Disconnected, len(r.Controllers), len(r.Unreachable))
	return nil
}

// printNodes writes a row for each node.
func (r statusReport) printNodes(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NODE\tSERVICE\tREGION/ZONE\tSTATE\tHELD\tOUTCOME\tIN FORCE\tCONTROLLER\tREASON")
	for _, node := range r.Nodes {
		reason := "-"
		if node.Rejection != nil {
			reason = node.Rejection.Error()
		}
		fmt.Fprintf(w, "%s\t%s\t%s/%s\t%s\t%d\t%s\t%d\t%s\t%s\n", node.Node, node.Service, node.Region, node.Zone, node.State, node.LastDecided,
			dashIfEmpty(string(node.Outcome)), node.Applied, node.Controller, reason)
	}
	return w.Flush()
}

// printControllers writes a row for each controller that answered.
func (r statusReport) printControllers(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nCONTROLLER\tVERSION\tIN TOUCH WITH A QUORUM\tLEADER\tSESSIONS")
	for _, c := range r.Controllers {
		fmt.Fprintf(w, "%s\t%d\t%t\t%s\t%d\n", c.Name, c.Version, c.HasLeaderContact, dashIfEmpty(c.Leader), c.Sessions)
	}
	return w.Flush()
}

// dashIfEmpty keeps the columns of a table apart.
func dashIfEmpty(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
