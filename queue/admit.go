package queue

import (
	"errors"
	"slices"

	"github.com/go-playground/validator/v10"
	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/job"
	"github.com/fuchsiahill/fuchsiahill/settings"
)

var validate = newValidator()

func newValidator() *validator.Validate {
	return validator.New(validator.WithRequiredStructEnabled())
}

// checkSpec refuses a submission that the settings or the workers could never
// satisfy. Errors: *job.InvalidError, *job.TooLargeError,
// *job.UnavailableError.
func checkSpec(spec job.Spec, region fleet.Region, snapshot settings.Snapshot, hosts *inventory.HostList) error {
	if err := checkFields(spec); err != nil {
		return err
	}
	team, ok := snapshot.Teams()[spec.Team]
	if !ok {
		return invalid("team", "unknown")
	}
	if team.Organisation != spec.Organisation {
		return invalid("organisation", "not that of the team")
	}
	allowed, err := allowedDataCentres(spec.DataCentres, region, snapshot)
	if err != nil {
		return err
	}
	return checkSize(spec.Resources, allowed, hosts)
}

func invalid(field, reason string) error {
	return eris.Wrap(&job.InvalidError{Field: field, Reason: reason}, "submit")
}

func checkFields(spec job.Spec) error {
	err := validate.Struct(spec)
	var fields validator.ValidationErrors
	if errors.As(err, &fields) {
		return invalid(fields[0].Namespace(), "breaks the rule "+fields[0].Tag()+" "+fields[0].Param())
	}
	if err != nil {
		return invalid("spec", err.Error())
	}
	if spec.Resources.IsZero() {
		return invalid("resources", "are all zero")
	}
	return nil
}

// allowedDataCentres returns the data centres of the region that a job may
// use, whether in or out.
func allowedDataCentres(wanted []fleet.DataCentre, region fleet.Region, snapshot settings.Snapshot) ([]fleet.DataCentre, error) {
	all := snapshot.DataCentres()
	var allowed []fleet.DataCentre
	for name, dc := range all {
		if dc.Region == region && (len(wanted) == 0 || slices.Contains(wanted, name)) {
			allowed = append(allowed, name)
		}
	}
	for _, name := range wanted {
		if _, ok := all[name]; !ok {
			return nil, invalid("data_centres", string(name)+" is unknown")
		}
	}
	if len(allowed) == 0 {
		return nil, invalid("data_centres", "none in region "+string(region))
	}
	return allowed, nil
}

// dimension is one kind of resource.
type dimension struct {
	name string
	of   func(fleet.Resources) int64
}

var dimensions = []dimension{
	{"milli_cores", func(r fleet.Resources) int64 { return r.MilliCores }},
	{"memory_mb", func(r fleet.Resources) int64 { return r.MemoryMB }},
	{"accelerators", func(r fleet.Resources) int64 { return r.Accelerators }},
}

// checkSize refuses tasks that no worker of the data centres could hold even
// when empty.
func checkSize(need fleet.Resources, allowed []fleet.DataCentre, hosts *inventory.HostList) error {
	if hosts == nil || hosts.Version == 0 {
		return eris.Wrap(&job.UnavailableError{Reason: "the host list is not known yet", RetryAfter: retryAfter}, "submit")
	}
	var capacities []fleet.Resources
	for _, w := range hosts.Workers {
		if w.State != inventory.StateGone && slices.Contains(allowed, w.DataCentre) {
			capacities = append(capacities, w.Capacity)
		}
	}
	if slices.ContainsFunc(capacities, need.Fits) {
		return nil
	}
	return eris.Wrap(tooLarge(need, capacities), "submit")
}

// tooLarge names a resource of which no worker has enough; if there is none
// such, one of which no worker that holds the others has enough.
func tooLarge(need fleet.Resources, capacities []fleet.Resources) *job.TooLargeError {
	var second *job.TooLargeError
	for _, d := range dimensions {
		largest, fitting := d.largest(need, capacities)
		if d.of(need) > largest {
			return &job.TooLargeError{Resource: d.name, Need: d.of(need), Largest: largest}
		}
		if d.of(need) > fitting && (second == nil || second.Largest == 0) {
			second = &job.TooLargeError{Resource: d.name, Need: d.of(need), Largest: fitting}
		}
	}
	return second
}

// largest returns the largest amount of d of all workers, and of those that
// hold the other resources of need.
func (d dimension) largest(need fleet.Resources, capacities []fleet.Resources) (all, fitting int64) {
	for _, c := range capacities {
		all = max(all, d.of(c))
		if d.holdsOthers(need, c) {
			fitting = max(fitting, d.of(c))
		}
	}
	return all, fitting
}

func (d dimension) holdsOthers(need, capacity fleet.Resources) bool {
	for _, other := range dimensions {
		if other.name != d.name && other.of(need) > other.of(capacity) {
			return false
		}
	}
	return true
}

// quotaShare returns the part of a team's quota that one of its shards may
// use. The parts add up to the quota.
func quotaShare(quota fleet.Resources, shards, n int) fleet.Resources {
	return fleet.Resources{
		MilliCores:   share(quota.MilliCores, shards, n),
		MemoryMB:     share(quota.MemoryMB, shards, n),
		Accelerators: share(quota.Accelerators, shards, n),
	}
}

func share(amount int64, shards, n int) int64 {
	if n >= shards {
		return 0
	}
	part := amount / int64(shards)
	if int64(n) < amount%int64(shards) {
		part++
	}
	return part
}
