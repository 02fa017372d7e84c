package crashserver

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// endlessBlock is the least number of bytes that SendEndless writes at a time.
const endlessBlock = 16 << 10

// SendEndless takes over the connection of a request, and writes a text and then another one again
// and again, until the caller closes the connection. With a pause it writes the other text once after
// each pause, otherwise as often as the caller reads it.
func SendEndless(w http.ResponseWriter, begin, repeated string, pause time.Duration) error {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	defer conn.Close()
	block := repeated
	if pause == 0 {
		block = strings.Repeat(repeated, 1+endlessBlock/len(repeated))
	}
	for _, err = io.WriteString(conn, begin); err == nil; {
		time.Sleep(pause)
		_, err = io.WriteString(conn, block)
	}
	return nil
}
