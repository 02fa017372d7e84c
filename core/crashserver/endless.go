package crashserver

import (
	"io"
	"net/http"
	"strings"
)

// endlessBlock is the least number of bytes that SendEndless writes at a time.
const endlessBlock = 16 << 10

// SendEndless takes over the connection of a request, and writes a text and then another one again
// and again, until the caller closes the connection.
func SendEndless(w http.ResponseWriter, begin, repeated string) error {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	defer conn.Close()
	block := strings.Repeat(repeated, 1+endlessBlock/len(repeated))
	for _, err = io.WriteString(conn, begin); err == nil; {
		_, err = io.WriteString(conn, block)
	}
	return nil
}
