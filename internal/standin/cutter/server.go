package cutter

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// earlyTime is the time between an early response and the end of its connection, in which its client goes on sending.
const earlyTime = 20 * time.Millisecond

// Server sends a cut response to the first request on each connection and ends the connection. It is safe for concurrent use.
type Server struct {
	listener net.Listener

	mu       sync.Mutex
	cut      Cut
	requests []string
}

// Listen starts a server on loopback that ends with ctx.
func Listen(ctx context.Context) (*Server, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}

	s := &Server{listener: listener}
	context.AfterFunc(ctx, func() { _ = listener.Close() })

	go s.run()

	return s, nil
}

// Address returns the server's IP:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Answer sets the response to the requests that follow.
func (s *Server) Answer(cut Cut) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.cut = cut
}

// TakeRequests returns the methods and paths of the requests since the last call.
func (s *Server) TakeRequests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()

	taken := s.requests
	s.requests = nil

	return taken
}

func (s *Server) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}

		go s.serve(conn)
	}
}

// serve reads a request whole, unless the response is early, since the system resets a connection that is closed before.
func (s *Server) serve(conn net.Conn) {
	defer conn.Close()

	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}

	s.mu.Lock()
	cut := s.cut
	s.requests = append(s.requests, request.Method+" "+request.URL.Path)
	s.mu.Unlock()

	if !cut.Early {
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
	}

	// A failed write means that the client is gone.
	_, _ = io.WriteString(conn, cut.Sent())

	if cut.End == Stay {
		_, _ = io.Copy(io.Discard, conn)
	}

	if cut.Early {
		time.Sleep(earlyTime)
	}

	if tcp, ok := conn.(*net.TCPConn); ok && cut.End == Reset {
		_ = tcp.SetLinger(0)
	}
}
