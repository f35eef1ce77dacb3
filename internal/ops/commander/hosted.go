package commander

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"brasschute/internal/role/gateway"
	"brasschute/platform"
)

// callTimeout bounds a call to a gateway; a person waits for the command.
const callTimeout = 3 * time.Second

// checkSettings validates a settings file of the hosting platform as a daemon does at its start.
func (k *Commander) checkSettings(context.Context) error {
	d, err := platform.ReadDeployment(k.file)
	if err != nil {
		return refusedError(err.Error())
	}
	fmt.Fprintf(k.c.Output, "%s: valid, for host %s in %s\n", k.file, d.Host, d.AvailabilityZone)
	return nil
}

// view prints a gateway's view of the system as JSON.
func (k *Commander) view(ctx context.Context) error {
	return k.callGateway(ctx, http.MethodGet, gateway.ViewPath, http.StatusOK)
}

// releaseQuarantined lifts the quarantine of a request at a gateway, which gossips it to the
// others.
func (k *Commander) releaseQuarantined(ctx context.Context) error {
	if err := k.callGateway(ctx, http.MethodDelete, gateway.QuarantinePath+url.PathEscape(k.fingerprint), http.StatusNoContent); err != nil {
		return err
	}
	fmt.Fprintf(k.c.Output, "%s is free again\n", k.fingerprint)
	return nil
}

// callGateway calls a gateway at its metrics address and prints the response body. A response
// with another status than expected is an error.
func (k *Commander) callGateway(ctx context.Context, method, path string, expected int) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+k.address+path, http.NoBody)
	if err != nil {
		return usageError(fmt.Sprintf("ADDRESS %q: IP:port is needed", k.address))
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != expected {
		return fmt.Errorf("gateway: %s answered %s", k.address, resp.Status)
	}
	if _, err := io.Copy(k.c.Output, resp.Body); err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	return nil
}
