package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"cardamomwick.example/core/api"
	"cardamomwick.example/core/state"
)

// callError is an api.CallError with its HTTP status.
type callError struct {
	api.CallError
	status int
}

// Error returns the type and the message.
func (e *callError) Error() string { return string(e.Type) + ": " + e.Message }

func notRun(status int, t api.ErrorType, message string) *callError {
	return &callError{api.CallError{Type: t, Message: message, Outcome: state.OutcomeNotRun}, status}
}

func unknown(status int, t api.ErrorType, message string) *callError {
	return &callError{api.CallError{Type: t, Message: message, Outcome: state.OutcomeUnknown}, status}
}

func (e *callError) withRetryAfter(d time.Duration) *callError {
	e.RetryAfterMillis = d.Milliseconds()
	return e
}

func (e *callError) withAddresses(addresses []string) *callError {
	e.Addresses = addresses
	return e
}

// reply is a call's final answer: either an error or a body.
type reply struct {
	err         *callError
	status      int
	contentType string
	body        []byte
	outcome     state.Outcome
	// recorded is set if the reply was read from the record of an earlier call with the same
	// key.
	recorded bool
}

func errorReply(e *callError) *reply { return &reply{err: e, outcome: e.Outcome} }

// storedAnswer returns the reply as it is recorded for retries of the call.
func (r *reply) storedAnswer() *state.StoredAnswer {
	a := &state.StoredAnswer{Outcome: r.outcome, Status: r.status, ContentType: r.contentType, Body: r.body}
	if r.err != nil {
		a.Status = r.err.status
		a.ContentType = jsonType
		a.Body, _ = json.Marshal(api.ErrorBody{Error: &r.err.CallError})
	}
	if len(a.Body) > state.MaxStoredAnswer {
		a.Body = nil
		a.Truncated = true
	}
	return a
}

// recordedReply returns the answer to a retry of a recorded call.
func recordedReply(rec *state.CallRecord) *reply {
	if rec.Phase != state.PhaseDone || rec.Answer == nil {
		return errorReply(unknown(http.StatusConflict, api.ErrorCallInProgress, "a call with this key is in progress, or the entry that ran it was lost").withRetryAfter(time.Second))
	}
	a := rec.Answer
	if a.Truncated {
		e := unknown(http.StatusConflict, api.ErrorAnswerNotKept, "the call has ended; its answer was too large to keep")
		e.Outcome = a.Outcome
		return &reply{err: e, outcome: a.Outcome, recorded: true}
	}
	return &reply{status: a.Status, contentType: a.ContentType, body: a.Body, outcome: a.Outcome, recorded: true}
}

const jsonType = "application/json"

// write sends the reply over HTTP.
func (r *reply) write(w http.ResponseWriter, requestID string) {
	h := w.Header()
	h.Set(api.HeaderRequestID, requestID)
	h.Set(api.HeaderOutcome, string(r.outcome))
	if r.recorded {
		h.Set(api.HeaderRecordedAnswer, "true")
	}
	if r.err == nil {
		h.Set("Content-Type", r.contentType)
		w.WriteHeader(r.status)
		_, _ = w.Write(r.body)
		return
	}
	writeError(w, r.err)
}

func writeError(w http.ResponseWriter, e *callError) {
	h := w.Header()
	h.Set("Content-Type", jsonType)
	h.Set(api.HeaderOutcome, string(e.Outcome))
	if e.RetryAfterMillis > 0 {
		h.Set("Retry-After", strconv.FormatInt((e.RetryAfterMillis+999)/1000, 10))
	}
	w.WriteHeader(e.status)
	_ = json.NewEncoder(w).Encode(api.ErrorBody{Error: &e.CallError})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", jsonType)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
