package config

// ValidateChange returns what is wrong with putting d in place of old: a
// version that keeps its name may not change what it is, as copies of it may be
// resident and are accounted for by its sizes. Paths are those of d.
func ValidateChange(old, d *Document) []Problem {
	c := &checker{doc: d}
	models := make(map[string]Model, len(old.Models))
	for _, m := range old.Models {
		models[m.Name] = m
	}
	adapters := make(map[string]Adapter, len(old.Adapters))
	for _, a := range old.Adapters {
		adapters[a.Name] = a
	}
	c.changedModels(models, adapters)
	c.changedAdapters(models, adapters)
	return c.problems
}

func (c *checker) changedModels(models map[string]Model, adapters map[string]Adapter) {
	for i, m := range c.doc.Models {
		p := at("models", i)
		if was, ok := models[m.Name]; ok && was.Version == m.Version {
			c.sameSize(p, m.Name, m.Version, was.Bytes, m.Bytes, was.LoadPeakBytes, m.LoadPeakBytes)
		}
		if was, ok := adapters[m.Name]; ok && was.Version == m.Version {
			c.add(p+".version", ImmutableVersion, "version %q of %q is an adapter in force; give a new version", m.Version, m.Name)
		}
	}
}

func (c *checker) changedAdapters(models map[string]Model, adapters map[string]Adapter) {
	for i, a := range c.doc.Adapters {
		p := at("adapters", i)
		if was, ok := models[a.Name]; ok && was.Version == a.Version {
			c.add(p+".version", ImmutableVersion, "version %q of %q is a model in force; give a new version", a.Version, a.Name)
		}
		was, ok := adapters[a.Name]
		if !ok || was.Version != a.Version {
			continue
		}
		if was.Model != a.Model {
			c.add(p+".model", ImmutableVersion, "version %q of %q has %q in force; give a new version", a.Version, a.Name, was.Model)
		}
		c.sameSize(p, a.Name, a.Version, was.Bytes, a.Bytes, was.LoadPeakBytes, a.LoadPeakBytes)
	}
}

// sameSize checks that a version keeps its sizes.
func (c *checker) sameSize(path, name, version string, oldBytes, newBytes, oldPeak, newPeak int64) {
	if oldBytes != newBytes {
		c.add(path+".bytes", ImmutableVersion, "version %q of %q has %d in force; give a new version", version, name, oldBytes)
	}
	if oldPeak != newPeak {
		c.add(path+".load-peak-bytes", ImmutableVersion, "version %q of %q has %d in force; give a new version", version, name, oldPeak)
	}
}
