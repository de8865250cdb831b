package wagentry

import (
	"net"
	"net/netip"
)

// Listeners holds the open ports of a host.
type Listeners struct {
	Caller, Forward, Operator net.Listener
}

// Listen opens the ports of a host. If it returns an error, none stays open.
func Listen(caller, forward, operator netip.AddrPort) (l *Listeners, err error) {
	l = &Listeners{}
	defer func() {
		if err != nil {
			l.Close()
			l = nil
		}
	}()
	if l.Caller, err = listen(caller); err != nil {
		return l, err
	}
	if l.Forward, err = listen(forward); err != nil {
		return l, err
	}
	l.Operator, err = listen(operator)
	return l, err
}

func listen(a netip.AddrPort) (net.Listener, error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(a))
	if err != nil {
		return nil, err
	}
	return l, nil
}

// Close closes the ports that are open.
func (l *Listeners) Close() {
	for _, x := range []net.Listener{l.Caller, l.Forward, l.Operator} {
		if x != nil {
			_ = x.Close()
		}
	}
}

// ListenerAddress returns the address of a listener.
func ListenerAddress(l net.Listener) netip.AddrPort {
	a, ok := l.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	p := a.AddrPort()
	return netip.AddrPortFrom(p.Addr().Unmap(), p.Port())
}
