package config

// ValidateChange returns the problems of replacing old by d. A model or adapter
// version must keep its sizes, type and base model, because copies of it may be
// resident and their memory is accounted for by these sizes. Paths refer to d.
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
	c.checkChangedModels(models, adapters)
	c.checkChangedAdapters(models, adapters)
	return c.problems
}

// checkChangedModels checks the models of the document against the old models
// and adapters.
func (c *checker) checkChangedModels(models map[string]Model, adapters map[string]Adapter) {
	for i, m := range c.doc.Models {
		p := elementPath("models", i)
		if old, ok := models[m.Name]; ok && old.Version == m.Version {
			c.checkSameSize(p, m.Name, m.Version, old.Bytes, m.Bytes, old.LoadPeakBytes, m.LoadPeakBytes)
		}
		if old, ok := adapters[m.Name]; ok && old.Version == m.Version {
			c.add(p+".version", ImmutableVersion, "version %q of %q is an adapter in force; give a new version", m.Version, m.Name)
		}
	}
}

// checkChangedAdapters checks the adapters of the document against the old
// models and adapters.
func (c *checker) checkChangedAdapters(models map[string]Model, adapters map[string]Adapter) {
	for i, a := range c.doc.Adapters {
		p := elementPath("adapters", i)
		if old, ok := models[a.Name]; ok && old.Version == a.Version {
			c.add(p+".version", ImmutableVersion, "version %q of %q is a model in force; give a new version", a.Version, a.Name)
		}
		old, ok := adapters[a.Name]
		if !ok || old.Version != a.Version {
			continue
		}
		if old.Model != a.Model {
			c.add(p+".model", ImmutableVersion, "version %q of %q has %q in force; give a new version", a.Version, a.Name, old.Model)
		}
		c.checkSameSize(p, a.Name, a.Version, old.Bytes, a.Bytes, old.LoadPeakBytes, a.LoadPeakBytes)
	}
}

// checkSameSize checks that a version keeps its sizes.
func (c *checker) checkSameSize(path, name, version string, oldBytes, newBytes, oldPeak, newPeak int64) {
	if oldBytes != newBytes {
		c.add(path+".bytes", ImmutableVersion, "version %q of %q has %d in force; give a new version", version, name, oldBytes)
	}
	if oldPeak != newPeak {
		c.add(path+".load-peak-bytes", ImmutableVersion, "version %q of %q has %d in force; give a new version", version, name, oldPeak)
	}
}
