package config

// Validate returns all semantic problems of the document, or nil if there are
// none. Capacity is checked only if the models, adapters and backend servers
// have no other problem.
func (d *Document) Validate() []Problem {
	c := &checker{
		doc:      d,
		kinds:    make(map[string]bool, len(d.Kinds)),
		models:   make(map[string]int, len(d.Models)),
		adapters: make(map[string]int, len(d.Adapters)),
		services: make(map[string]int, len(d.Services)),
	}
	c.collectDeclarations()
	c.name("deployment", d.Deployment)
	c.checkKinds()
	c.checkServices()
	problemsBefore := len(c.problems)
	c.checkModels()
	c.checkAdapters()
	c.checkServers()
	if len(c.problems) == problemsBefore {
		c.checkCapacity()
	}
	c.checkTeams()
	c.checkLimits()
	c.checkPlacement()
	return c.problems
}

// collectDeclarations indexes the declared names, so that references can be
// checked, and counts the engines.
func (c *checker) collectDeclarations() {
	for _, k := range c.doc.Kinds {
		c.kinds[k.Name] = true
	}
	for i, m := range c.doc.Models {
		c.models[m.Name] = i
	}
	for i, a := range c.doc.Adapters {
		c.adapters[a.Name] = i
	}
	for i, s := range c.doc.Services {
		c.services[s.Name] = i
	}
	for _, s := range c.doc.Servers {
		if s.Type == Engine {
			c.engines++
		}
	}
}

func (c *checker) checkKinds() {
	if len(c.doc.Kinds) == 0 {
		c.add("kinds", Missing, "at least one kind of work is required")
	}
	seen := make(map[string]string)
	for i, k := range c.doc.Kinds {
		p := elementPath("kinds", i)
		c.name(p+".name", k.Name)
		c.unique(seen, p+".name", k.Name, "name")
		switch k.Urgency {
		case Urgent, Normal, Deferrable:
		default:
			c.add(p+".urgency", BadValue, "%q, allowed are %q, %q and %q", k.Urgency, Urgent, Normal, Deferrable)
		}
		c.float(p+".value", k.Value, positiveBound)
		c.int(p+".deadline-ms", k.DeadlineMS, deadlineBound)
	}
}

func (c *checker) checkModels() {
	if len(c.doc.Models) == 0 && len(c.doc.Services) == 0 {
		c.add("models", Missing, "at least one model or plain service is required")
	}
	seen := make(map[string]string)
	for i, m := range c.doc.Models {
		p := elementPath("models", i)
		c.name(p+".name", m.Name)
		c.unique(seen, p+".name", m.Name, "name")
		c.name(p+".version", m.Version)
		c.int(p+".bytes", m.Bytes, bytesBound)
		c.int(p+".load-peak-bytes", m.LoadPeakBytes, zeroBytesBound)
		c.int(p+".min-copies", int64(m.MinCopies), copiesBound)
		if m.MinCopies > c.engines && c.engines > 0 {
			c.add(p+".min-copies", TooManyCopies, "%d copies need as many engines, %d are declared", m.MinCopies, c.engines)
		}
	}
	if c.engines == 0 && len(c.doc.Models) > 0 {
		c.add("backend-servers", Missing, "models are declared and no backend server of type %q", Engine)
	}
}

func (c *checker) checkAdapters() {
	seen := make(map[string]string)
	for i, m := range c.doc.Models {
		seen[m.Name] = elementPath("models", i) + ".name"
	}
	for i, a := range c.doc.Adapters {
		p := elementPath("adapters", i)
		c.name(p+".name", a.Name)
		c.unique(seen, p+".name", a.Name, "name")
		c.name(p+".version", a.Version)
		c.int(p+".bytes", a.Bytes, bytesBound)
		c.int(p+".load-peak-bytes", a.LoadPeakBytes, zeroBytesBound)
		c.int(p+".min-copies", int64(a.MinCopies), copiesBound)
		base, ok := c.models[a.Model]
		if _, isAdapter := c.adapters[a.Model]; isAdapter && !ok {
			c.add(p+".model", UnknownReference, "%q is an adapter, a model is required", a.Model)
		} else {
			c.reference(p+".model", a.Model, "model", ok)
		}
		if ok && a.MinCopies > c.doc.Models[base].MinCopies {
			c.add(p+".min-copies", TooManyCopies, "%d copies beside %d copies of model %q", a.MinCopies, c.doc.Models[base].MinCopies, a.Model)
		}
	}
}

func (c *checker) checkLimits() {
	l := c.doc.Limits
	c.int("limits.body-bytes", l.BodyBytes, bodyBound)
	c.int("limits.header-bytes", int64(l.HeaderBytes), headerBound)
	c.int("limits.streams-per-node", int64(l.StreamsPerNode), countBound)
	c.int("limits.idle-ms", l.IdleMS, idleBound)
	c.int("limits.queue-per-server", int64(l.QueuePerServer), countBound)
	c.float("limits.retry-share", l.RetryShare, retryShareBound)
	c.int("limits.weight-loads", int64(l.WeightLoads), loadsBound)
	c.float("limits.weight-loads-rate", l.WeightLoadsRate, loadsRateBound)
}

func (c *checker) checkPlacement() {
	p := c.doc.Placement
	c.float("placement.move-price", p.MovePrice, priceBound)
	c.int("placement.min-residence-ms", p.MinResidenceMS, residenceBound)
	c.int("placement.period-ms", p.PeriodMS, periodBound)
}
