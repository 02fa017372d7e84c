package daemon

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
)

// namedHandler adds the instance's name to every log line.
type namedHandler struct {
	next log.Handler
	name string
}

// HandleLog implements log.Handler.
func (h *namedHandler) HandleLog(e *log.Entry) error {
	named := *e
	named.Fields = make(log.Fields, len(e.Fields)+1)
	for k, v := range e.Fields {
		named.Fields[k] = v
	}
	named.Fields["instance"] = h.name
	return h.next.HandleLog(&named)
}

// SetUpLog sends JSON lines to w.
func SetUpLog(w io.Writer, level, name string) {
	log.SetHandler(&namedHandler{json.New(w), name})
	log.SetLevelFromString(level)
}
