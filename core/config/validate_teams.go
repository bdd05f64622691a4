package config

import (
	"slices"
	"strings"
)

func (c *checker) checkTeams() {
	if len(c.doc.Teams) == 0 {
		c.add("teams", Missing, "at least one team is required")
	}
	names, hashes := make(map[string]string), make(map[string]string)
	for i, team := range c.doc.Teams {
		p := elementPath("teams", i)
		c.name(p+".name", team.Name)
		c.unique(names, p+".name", team.Name, "name")
		c.checkKeys(p+".key-hashes", team.KeyHashes, hashes)
		c.checkTeamModels(p+".models", team.Models)
		c.checkTeamKinds(p, team)
		c.checkTeamServices(p+".services", team)
		c.float(p+".weight", team.Weight, positiveBound)
	}
}

func (c *checker) checkKeys(path string, keys []string, seen map[string]string) {
	if len(keys) == 0 {
		c.add(path, Missing, "at least one key hash is required")
	}
	for i, h := range keys {
		c.keyHash(elementPath(path, i), h)
		c.unique(seen, elementPath(path, i), strings.ToLower(h), "key hash")
	}
}

func (c *checker) checkTeamModels(path string, models []string) {
	seen := make(map[string]string)
	for i, name := range models {
		c.unique(seen, elementPath(path, i), name, "name")
		if name == AnyName {
			continue
		}
		_, isModel := c.models[name]
		_, isAdapter := c.adapters[name]
		c.reference(elementPath(path, i), name, "model or adapter", isModel || isAdapter)
	}
	if len(models) > 1 && slices.Contains(models, AnyName) {
		c.add(path, Unreachable, "%q allows all, so the other names have no effect", AnyName)
	}
}

func (c *checker) checkTeamKinds(path string, team Team) {
	if len(team.Kinds) == 0 {
		c.add(path+".kinds", Missing, "at least one kind of work is required")
	}
	seen := make(map[string]string)
	for i, k := range team.Kinds {
		c.unique(seen, elementPath(path+".kinds", i), k, "name")
		c.reference(elementPath(path+".kinds", i), k, "kind", c.kinds[k])
	}
	c.reference(path+".default-kind", team.DefaultKind, "kind", c.kinds[team.DefaultKind])
	if c.kinds[team.DefaultKind] && !slices.Contains(team.Kinds, team.DefaultKind) {
		c.add(path+".default-kind", KindNotAllowed, "%q is not among the team's kinds", team.DefaultKind)
	}
}

// checkTeamServices checks the services that a team may use. A service is
// usable only if at least one of its calls has a kind that the team may use.
func (c *checker) checkTeamServices(path string, team Team) {
	seen := make(map[string]string)
	for i, name := range team.Services {
		c.unique(seen, elementPath(path, i), name, "name")
		index, ok := c.services[name]
		c.reference(elementPath(path, i), name, "service", ok)
		if !ok {
			continue
		}
		calls := c.doc.Services[index].Calls
		allowed := func(call Call) bool { return slices.Contains(team.Kinds, call.Kind) }
		if len(calls) > 0 && !slices.ContainsFunc(calls, allowed) {
			c.add(elementPath(path, i), KindNotAllowed, "no call of service %q has a kind that the team is allowed", name)
		}
	}
}
