package settings

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/strictjson"
)

const (
	minutesPerHour = 60
	minutesPerDay  = 24 * minutesPerHour
	fullPercent    = 100.0
	// percentTolerance absorbs rounding errors in sums of fractions.
	percentTolerance = 1e-9
	guaranteeName    = "guarantee_percent"
	windowFormat     = "HH:MM-HH:MM in UTC, each from 0 to 100"
)

var windowPattern = regexp.MustCompile(`^([01][0-9]|2[0-3]):([0-5][0-9])-(([01][0-9]|2[0-3]):([0-5][0-9])|24:00)$`)

// Window is a daily time window in UTC such as "05:00-17:00". It includes its
// start and excludes its end. A window that ends before it starts continues
// past midnight; "00:00-24:00" is the whole day.
type Window string

// valid reports whether w is well-formed and its start and end differ.
func (w Window) valid() bool {
	if !windowPattern.MatchString(string(w)) {
		return false
	}
	from, to := w.minutes()
	return from != to
}

// minutes returns the start and end of a well-formed window in minutes since
// midnight UTC.
func (w Window) minutes() (from, to int) {
	start, end, _ := strings.Cut(string(w), "-")
	return minuteOfDay(start), minuteOfDay(end)
}

func minuteOfDay(clock string) int {
	hour, minute, _ := strings.Cut(clock, ":")
	h, _ := strconv.Atoi(hour)
	m, _ := strconv.Atoi(minute)
	return h*minutesPerHour + m
}

// contains reports whether a minute of the day in UTC is in the window.
func (w Window) contains(minute int) bool {
	from, to := w.minutes()
	if from < to {
		return from <= minute && minute < to
	}
	return from <= minute || minute < to
}

// Guarantees maps daily windows to the share of each cell's batch capacity, in
// percent, that an organisation is guaranteed within them. Outside all windows
// the share is 0. The windows of a valid table do not overlap.
type Guarantees map[Window]float64

// At returns the guaranteed share at t in percent.
func (g Guarantees) At(t time.Time) float64 {
	utc := t.UTC()
	return g.atMinute(utc.Hour()*minutesPerHour + utc.Minute())
}

// Range returns the lowest and the highest share between t and t+d, in percent.
func (g Guarantees) Range(t time.Time, d time.Duration) (lowest, highest float64) {
	lowest = g.At(t)
	highest = lowest
	for minute := t.Truncate(time.Minute).Add(time.Minute); !minute.After(t.Add(d)); minute = minute.Add(time.Minute) {
		share := g.At(minute)
		lowest, highest = min(lowest, share), max(highest, share)
	}
	return lowest, highest
}

func (g Guarantees) atMinute(minute int) float64 {
	for w, percent := range g {
		if w.contains(minute) {
			return percent
		}
	}
	return 0
}

// String lists the windows in order of their start, or returns "none".
func (g Guarantees) String() string {
	if len(g) == 0 {
		return "none"
	}
	var parts []string
	for _, w := range slices.Sorted(maps.Keys(g)) {
		parts = append(parts, fmt.Sprintf("%s %v%%", w, g[w]))
	}
	return strings.Join(parts, ", ")
}

// findOverlap returns a window of the table that overlaps another one, if there
// is any.
func (g Guarantees) findOverlap() (Window, bool) {
	windows := slices.Sorted(maps.Keys(g))
	for i, w := range windows {
		from, _ := w.minutes()
		for k, other := range windows {
			if k != i && other.contains(from) {
				return w, true
			}
		}
	}
	return "", false
}

// checkGuarantees rejects tables whose windows overlap, tables of services and
// job classes, where nothing reads them, and guarantees whose sum exceeds 100
// percent at any time.
func (t *Tree) checkGuarantees() error {
	levels := t.levels()
	for _, path := range slices.Sorted(maps.Keys(levels)) {
		level := levels[path]
		g := level.values.Guarantee
		if g == nil {
			continue
		}
		guaranteePath := strictjson.Join(path, guaranteeName)
		if level.leaf {
			return invalidGuarantee(guaranteePath, "has no effect on a service or job class", "")
		}
		if w, overlaps := g.findOverlap(); overlaps {
			return invalidGuarantee(strictjson.Join(guaranteePath, string(w)), "overlaps another window", windowFormat)
		}
	}
	for _, dc := range slices.Sorted(maps.Keys(t.DataCentres)) {
		if err := t.checkGuaranteeSum(dc); err != nil {
			return err
		}
	}
	return t.checkGuaranteeSum("")
}

func invalidGuarantee(path, reason, allowed string) error {
	return eris.Wrap(&InvalidError{Path: path, Reason: reason, Allowed: allowed}, "validate")
}

// checkGuaranteeSum rejects guarantees whose sum over all organisations exceeds
// 100 percent in a data centre. It checks each time of day at which a window
// starts, since the sum rises only there. The error names the value at which
// the sum, in order of the organisations' names, exceeds 100 percent.
func (t *Tree) checkGuaranteeSum(dc fleet.DataCentre) error {
	names := slices.Sorted(maps.Keys(t.Organisations))
	tables := make([]Origin, len(names))
	starts := make(map[int]bool)
	for i, name := range names {
		tables[i] = t.guaranteeOf(Leaf{Organisation: name, DataCentre: dc})
		for w := range tables[i].Value.(Guarantees) {
			from, _ := w.minutes()
			starts[from] = true
		}
	}
	for _, minute := range slices.Sorted(maps.Keys(starts)) {
		sum := 0.0
		for _, table := range tables {
			sum += table.Value.(Guarantees).atMinute(minute)
			if sum > fullPercent+percentTolerance {
				reason := fmt.Sprintf("organisations are guaranteed %v%% in all at %02d:%02d UTC", sum, minute/minutesPerHour, minute%minutesPerHour)
				if dc != "" {
					reason += " in " + string(dc)
				}
				return invalidGuarantee(table.Path, reason, "a sum of 0 to 100")
			}
		}
	}
	return nil
}

// guaranteeOf returns the table in force at a leaf and the level that sets it.
func (t *Tree) guaranteeOf(leaf Leaf) Origin {
	o := Origin{Name: guaranteeName, Value: DefaultValues().Guarantee, Level: LevelDefault}
	for _, s := range t.inheritanceLevels(leaf) {
		if s.values.Guarantee != nil {
			o.Value, o.Level, o.Path = *s.values.Guarantee, s.level, strictjson.Join(s.path, guaranteeName)
		}
	}
	return o
}

// valuesLevel is one level of the tree that may hold values.
type valuesLevel struct {
	values *Values
	leaf   bool // the level of a service or job class
}

// levels returns every level that holds values, by its path.
func (t *Tree) levels() map[string]valuesLevel {
	all := map[string]valuesLevel{"values": {values: &t.Values}}
	for name, org := range t.Organisations {
		path := "organisations." + string(name)
		all[path+".values"] = valuesLevel{values: &org.Values}
		org.addLevels(path, all)
		for dc, location := range org.DataCentres {
			locationPath := path + ".data_centres." + string(dc)
			all[locationPath+".values"] = valuesLevel{values: &location.Values}
			location.addLevels(locationPath, all)
		}
	}
	return all
}

func (l *Leaves) addLevels(path string, all map[string]valuesLevel) {
	for name, values := range l.Services {
		all[path+".services."+string(name)] = valuesLevel{values: values, leaf: true}
	}
	for name, values := range l.JobClasses {
		all[path+".job_classes."+string(name)] = valuesLevel{values: values, leaf: true}
	}
}
