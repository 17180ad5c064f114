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

// controllerFlags name the controller to call.
type controllerFlags struct {
	Controller string `required:"" placeholder:"HOST:PORT" env:"BITTERNWING_CONTROLLER" help:"Internal address of any controller."`
	responseFlags
}

// callController makes a request to a controller, within the time to wait.
func callController[Reply any](f *controllerFlags, request func(context.Context, *adminapi.Client) (*Reply, error)) (*Reply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), f.Wait)
	defer cancel()
	client, err := adminapi.NewClient(f.Controller)
	if err != nil {
		return nil, err
	}
	defer func() { _ = client.Close() }()
	return request(ctx, client)
}

// printJSON prints a message as a line of JSON.
func printJSON(w io.Writer, message proto.Message) error {
	text, err := protojson.Marshal(message)
	if err != nil {
		return err
	}
	// protojson varies its spaces on purpose; scripts get one form.
	compact, err := json.Marshal(json.RawMessage(text))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(w, string(compact))
	return err
}
