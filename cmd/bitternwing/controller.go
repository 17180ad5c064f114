package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"bitternwing/internal/adminapi"
)

// controllerFlags are the flags of the commands that call a controller's internal address.
type controllerFlags struct {
	Controller string `required:"" placeholder:"HOST:PORT" env:"BITTERNWING_CONTROLLER" help:"Internal address of any controller."`
	responseFlags
}

// callController sends a request to a controller, and retries it for the time of --wait.
func callController[Reply any](flags *controllerFlags, request func(context.Context, *adminapi.Client) (*Reply, error)) (*Reply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), flags.Wait)
	defer cancel()
	client, err := adminapi.NewClient(flags.Controller)
	if err != nil {
		return nil, err
	}
	defer func() { _ = client.Close() }()
	return request(ctx, client)
}

// printJSON prints a message as one line of JSON.
func printJSON(w io.Writer, message proto.Message) error {
	text, err := protojson.Marshal(message)
	if err != nil {
		return err
	}
	// protojson deliberately varies its white space between builds. Compacting makes the output stable for scripts.
	compact, err := json.Marshal(json.RawMessage(text))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(w, string(compact))
	return err
}
