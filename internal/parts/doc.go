// Package parts runs the long-lived tasks of a process and limits how long their
// shutdown may take.
//
// A process that shuts down first completes its requests and then stops its
// tasks. Without a limit, a task that does not return would keep the process, and
// the VM that it runs on, alive until it is killed from outside, and no log line
// would name the task.
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
