package balance

import "time"

// SoftwareServers returns how many servers of a service have a version of the software, and how many of these hold a model. Servers
// that are leaving don't count.
func (p *Picker) SoftwareServers(now time.Time, service, version, model string) (servers, holders int) {
	for _, s := range p.byService[service] {
		if s.Software != version {
			continue
		}
		servers++
		if model == "" || s.holds(now, resident{model, ""}) {
			holders++
		}
	}
	return servers, holders
}

// withSoftware returns the holders whose software has the version that a request needs.
func (p *Picker) withSoftware(now time.Time, h *holders, r Request) *holders {
	if r.Software == "" {
		return h
	}
	out := &holders{at: h.at, reason: NoVersion}
	for _, s := range h.list {
		if s.Software == r.Software {
			out.list = append(out.list, s)
		}
	}
	if len(out.list) > 0 {
		out.reason = NoServer // all of these are excluded, if none is picked
		return out
	}
	for _, s := range p.byService[r.Service] {
		switch {
		case s.Software != r.Software:
		case r.Adapter != "" && s.holds(now, resident{r.Model, ""}):
			out.reason = NoAdapter
		case out.reason == NoVersion && r.Model != "":
			out.reason = NoModel
		}
	}
	return out
}
