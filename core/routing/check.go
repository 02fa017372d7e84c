package routing

import "fmt"

// InvalidError describes why a declaration is invalid.
type InvalidError struct{ Reason string }

// Error returns the reason with a prefix.
func (e *InvalidError) Error() string { return "invalid declaration: " + e.Reason }

func invalid(format string, args ...any) error {
	return &InvalidError{fmt.Sprintf(format, args...)}
}

// Check returns an *InvalidError if the declaration is invalid. The result depends only
// on the declaration, so that all replicas agree.
func (d *Declaration) Check() error {
	if d.Version == 0 {
		return invalid("the version is missing")
	}
	pools := make(map[string]bool, len(d.Pools))
	for _, p := range d.Pools {
		pools[p.Name] = true
	}
	if err := d.checkRoutes(pools); err != nil {
		return err
	}
	return d.checkKeys()
}

func (d *Declaration) checkRoutes(pools map[string]bool) error {
	type routeKey struct{ host, prefix string }
	seen := make(map[routeKey]string, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		key := routeKey{r.Host, r.PathPrefix}
		if other, taken := seen[key]; taken {
			return invalid("routes %s and %s have the same host and prefix", other, r.Name)
		}
		seen[key] = r.Name
		if r.Timeout <= 0 {
			return invalid("route %s has no timeout", r.Name)
		}
		if err := r.checkTargets(pools); err != nil {
			return err
		}
	}
	return nil
}

func (r *Route) checkTargets(pools map[string]bool) error {
	total := 0
	for _, t := range r.Targets {
		if !pools[t.Pool] {
			return invalid("route %s names the unknown pool %q", r.Name, t.Pool)
		}
		if t.Weight < 0 {
			return invalid("route %s has a negative weight", r.Name)
		}
		total += t.Weight
	}
	if total == 0 {
		return invalid("the weights of route %s add up to 0", r.Name)
	}
	return nil
}

func (d *Declaration) checkKeys() error {
	owners := map[string]string{}
	for _, c := range d.Customers {
		for _, k := range c.Keys {
			if other, taken := owners[k]; taken && other != c.Name {
				return invalid("customers %s and %s share a key", other, c.Name)
			}
			owners[k] = c.Name
		}
	}
	return nil
}
