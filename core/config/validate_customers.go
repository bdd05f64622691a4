package config

import (
	"slices"
	"strings"
)

func (c *checker) checkCustomers() {
	if len(c.doc.Customers) == 0 {
		c.add("customers", Missing, "at least one customer is required")
	}
	names, hashes := make(map[string]string), make(map[string]string)
	for i, customer := range c.doc.Customers {
		p := at("customers", i)
		c.name(p+".name", customer.Name)
		c.unique(names, p+".name", customer.Name, "name")
		c.checkKeys(p+".key-hashes", customer.KeyHashes, hashes)
		c.checkCustomerModels(p+".models", customer.Models)
		c.checkCustomerKinds(p, customer)
		c.checkCustomerServices(p+".services", customer)
		c.float(p+".weight", customer.Weight, positiveBound)
	}
}

func (c *checker) checkKeys(path string, keys []string, seen map[string]string) {
	if len(keys) == 0 {
		c.add(path, Missing, "at least one key hash is required")
	}
	for i, h := range keys {
		c.keyHash(at(path, i), h)
		c.unique(seen, at(path, i), strings.ToLower(h), "key hash")
	}
}

func (c *checker) checkCustomerModels(path string, models []string) {
	seen := make(map[string]string)
	for i, name := range models {
		c.unique(seen, at(path, i), name, "name")
		if name == AnyName {
			continue
		}
		_, isModel := c.models[name]
		_, isAdapter := c.adapters[name]
		c.reference(at(path, i), name, "model or adapter", isModel || isAdapter)
	}
	if len(models) > 1 && slices.Contains(models, AnyName) {
		c.add(path, Unreachable, "%q allows all, so the other names have no effect", AnyName)
	}
}

func (c *checker) checkCustomerKinds(path string, customer Customer) {
	if len(customer.Kinds) == 0 {
		c.add(path+".kinds", Missing, "at least one kind of work is required")
	}
	seen := make(map[string]string)
	for i, k := range customer.Kinds {
		c.unique(seen, at(path+".kinds", i), k, "name")
		c.reference(at(path+".kinds", i), k, "kind", c.kinds[k])
	}
	c.reference(path+".default-kind", customer.DefaultKind, "kind", c.kinds[customer.DefaultKind])
	if c.kinds[customer.DefaultKind] && !slices.Contains(customer.Kinds, customer.DefaultKind) {
		c.add(path+".default-kind", KindNotAllowed, "%q is not among the customer's kinds", customer.DefaultKind)
	}
}

// checkCustomerServices checks the services that a customer may use: it must
// be allowed the kind of at least one call of each.
func (c *checker) checkCustomerServices(path string, customer Customer) {
	seen := make(map[string]string)
	for i, name := range customer.Services {
		c.unique(seen, at(path, i), name, "name")
		index, ok := c.services[name]
		c.reference(at(path, i), name, "service", ok)
		if !ok {
			continue
		}
		calls := c.doc.Services[index].Calls
		allowed := func(call Call) bool { return slices.Contains(customer.Kinds, call.Kind) }
		if len(calls) > 0 && !slices.ContainsFunc(calls, allowed) {
			c.add(at(path, i), KindNotAllowed, "no call of service %q has a kind that the customer is allowed", name)
		}
	}
}
