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

// configCommands publish configuration versions and show at which nodes they are in force.
type configCommands struct {
	Publish configPublish `cmd:"" help:"Publish a new configuration version."`
	Status  configStatus  `cmd:"" help:"Print the version in force at each node. Exit status: 0 the rollout of the newest version is complete, 1 it is not."`
}

// controllerAddresses is the flag with the controllers that a command connects to.
type controllerAddresses struct {
	Controllers []string `default:"127.0.0.1:7400" env:"HOOKWALK_CONTROLLERS" placeholder:"HOST:PORT,..." help:"Addresses of some of the controllers (default: 127.0.0.1:7400)."`
}

const (
	publishTimeout = 10 * time.Second // for a response; long enough for the election of a leader
	statusTimeout  = 5 * time.Second  // for all controllers together: those that are down must not delay the report
	// maxDocumentRead is the number of bytes that are read from a file: one more than the limit, to detect that it is exceeded.
	maxDocumentRead = configapi.MaxDocumentBytes + 1
)

type configPublish struct {
	File     string   `arg:"" help:"The JSON document with the configuration of one or more services; - reads standard input."`
	Replaces []string `placeholder:"CLUSTER" help:"Confirm that nodes of this other cluster are to follow the new version's cluster."`
	ID       string   `placeholder:"ID" help:"Retry the request that had this ID, without adding a second version."`
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

// publishError adds to the error of a request with an unknown outcome how to retry it safely.
func publishError(err error, file, id string) error {
	var apiError *configapi.Error
	if errors.As(err, &apiError) && apiError.Kind == configapi.ErrorOutcomeUnknown {
		return fmt.Errorf("config: %w; to retry without adding a second version: hookwalk config publish %s --id %s", err, file, id)
	}
	return fmt.Errorf("config: %w", err)
}

// readDocumentFile reads a document from a file, or from standard input for "-". It returns an error for a document that is
// not JSON or larger than controllers accept.
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
		return nil, fmt.Errorf("config: %s is larger than %d bytes, the limit for a document", path, configapi.MaxDocumentBytes)
	case !json.Valid(text):
		return nil, fmt.Errorf("config: %s is not JSON", path)
	}
	return text, nil
}

type configStatus struct {
	JSON bool `help:"Print JSON."`
	controllerAddresses
}

// statusReport is the output of config status --json.
type statusReport struct {
	configversion.Rollout
	Complete    bool                         `json:"complete"`
	Controllers []configapi.ControllerStatus `json:"controllers"` // without their nodes
	Unreachable []string                     `json:"unreachable,omitempty"`
}

// Run queries all controllers and prints the state of the rollout. The exit code is exitFailed unless that is complete.
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

// newStatusReport merges the responses of the controllers.
func newStatusReport(statuses configclient.Statuses) statusReport {
	report := statusReport{Rollout: configversion.MergeStatuses(statuses.Responses)}
	for _, answer := range statuses.Responses {
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
	fmt.Fprintf(to, "\nversion %d of cluster %s: in force at %d nodes, %d lagging, %d rejected it, %d away; %d controllers answered, %d did not\n",
		r.Version, r.Cluster, r.Current, r.Lagging, r.Rejected, r.Disconnected, len(r.Controllers), len(r.Unreachable))
	return nil
}

// printNodes writes a row for each node.
func (r statusReport) printNodes(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NODE\tSERVICE\tREGION/ZONE\tSTATE\tDECIDED\tOUTCOME\tIN FORCE\tCONTROLLER\tREASON")
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
	fmt.Fprintln(w, "\nCONTROLLER\tVERSION\tLEADER CONTACT\tLEADER\tSESSIONS")
	for _, c := range r.Controllers {
		fmt.Fprintf(w, "%s\t%d\t%t\t%s\t%d\n", c.Name, c.Version, c.HasLeaderContact, dashIfEmpty(c.Leader), c.Sessions)
	}
	return w.Flush()
}

// dashIfEmpty returns "-" for an empty text, so that no cell of a table is blank.
func dashIfEmpty(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
