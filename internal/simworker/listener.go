package simworker

import (
	"context"
	"net"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

// The loopback addresses of workers begin at 127.16.0.1, with workersPerThirdByte addresses for each value of the third
// byte.
const (
	firstSecondByte     = 16
	workersPerThirdByte = 250
)

// addressOf returns the address of the worker with an index.
func addressOf(index int) net.IP {
	third := index / workersPerThirdByte
	return net.IPv4(127, byte(firstSecondByte+third/256), byte(third%256), byte(1+index%workersPerThirdByte))
}

// ListenLoopback listens on a free port on all loopback addresses, and on no others.
func ListenLoopback() (net.Listener, error) {
	listenConfig := net.ListenConfig{Control: bindToLoopback}
	return listenConfig.Listen(context.Background(), "tcp4", "0.0.0.0:0")
}

// loopbackInterface is the name of the loopback interface.
const loopbackInterface = "lo"

// bindToLoopback binds a socket to the loopback interface.
func bindToLoopback(_, _ string, raw syscall.RawConn) error {
	var bindErr error
	if err := raw.Control(func(fd uintptr) { bindErr = unix.BindToDevice(int(fd), loopbackInterface) }); err != nil {
		return err
	}
	return bindErr
}

// workerConn is a connection to a worker.
type workerConn struct {
	countedConn
	worker *Worker
}

// workerListener accepts connections to the workers of a fleet.
type workerListener struct {
	net.Listener
	fleet *Fleet
}

// Accept returns the next connection to a worker. It closes connections to addresses without a worker.
func (l *workerListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		host, _, _ := net.SplitHostPort(connection.LocalAddr().String())
		if worker := l.fleet.workerAt(host); worker != nil {
			return workerConn{countedConn{connection, &worker.byteCounter}, worker}, nil
		}
		_ = connection.Close()
	}
}

// serve passes a request to the worker at the local end of its connection.
func serve(rw http.ResponseWriter, r *http.Request) {
	if w, ok := r.Context().Value(workerKey{}).(*Worker); ok {
		w.serve(rw, r)
	}
}

// workerKey is the context key of the worker at the local end of a request's connection.
type workerKey struct{}

// withWorker adds the worker at the local end of a connection to the context of its requests.
func withWorker(ctx context.Context, connection net.Conn) context.Context {
	if counted, ok := connection.(workerConn); ok {
		return context.WithValue(ctx, workerKey{}, counted.worker)
	}
	return ctx
}
