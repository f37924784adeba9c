package messenger

import (
	"fmt"
	"strings"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"
)

// libraryLines turns the lines of the JSON-RPC library, which are free text on the error stream,
// into events of this node. They are for level debug: a connection that this node dialled has lines of its
// own, and of those that others dial hundreds end unproven in each cut.
type libraryLines struct {
	logger zerolog.Logger
}

// Printf implements jsonrpc2.Logger.
func (l libraryLines) Printf(format string, values ...any) {
	l.logger.Debug().Str("cause", strings.TrimSpace(fmt.Sprintf(format, values...))).Msg("peer_connection_ended")
}

// inEvents makes a connection of the library log through the logger.
func inEvents(logger zerolog.Logger) jsonrpc2.ConnOpt {
	return jsonrpc2.SetLogger(libraryLines{logger: logger})
}
