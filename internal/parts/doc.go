// Package parts runs the long-lived parts of a process and bounds how long
// their end takes.
//
// A process that is asked to stop ends its requests first and its parts then.
// A part that does not end would keep the process, and the VM that it runs on,
// until it is killed from outside, without a line that names the part.
//
// # Usage
//
//	g := &parts.Group{Log: log}
//	g.Go("callers", func() { serve(ctx) })
//	cancel()
//	if err := g.Wait(time.Second); err != nil {
//		return err // a *parts.StuckError
//	}
package parts
