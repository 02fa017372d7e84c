package lab

import (
	"context"
	"encoding/json"
)

// SendReport sends a liveness report to a control address; it returns the status.
func SendReport(ctx context.Context, to, id, service, address, zone string, slots int, state string, sequence uint64) int {
	data, err := json.Marshal(map[string]any{"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots,
		"state": state, "cold_remaining_ms": 0, "sequence": sequence})
	if err != nil {
		panic(err) // plain data
	}
	return PutReport(ctx, to, id, data)
}

// PutReport sends a liveness report with a body of the caller's; it returns the status.
func PutReport(ctx context.Context, to, id string, body []byte) int {
	status, _ := Do(ctx, control, "PUT", "http://"+to+"/instances/"+id, body)
	return status
}
