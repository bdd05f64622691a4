package sample

import "guavapaddle/core/config"

// Kabinaki returns the configuration of Kabinaki Records. The number of moves matters
// more than deadline attainment, so that the price of a move is high.
func Kabinaki() *config.Document {
	f := layout{
		name: "kabinaki", network: 2,
		dataCentres: []string{"dc-1", "dc-2", "dc-3"},
		engines:     20, orderChecking: 10, stepMS: 9,
		service: "records", servers: 3,
	}
	doc := &config.Document{
		Deployment: f.name,
		Kinds: []config.Kind{
			{Name: "licence-question", Urgency: config.Urgent, Value: 10, DeadlineMS: 8000, Repeatable: true},
			{Name: "instructor-summary", Urgency: config.Urgent, Value: 8, DeadlineMS: 20_000, Repeatable: true},
			{Name: "course-draft", Urgency: config.Normal, Value: 3, DeadlineMS: 120_000, Repeatable: true},
			{Name: "audit-digest", Urgency: config.Deferrable, Value: 1, DeadlineMS: 10 * 3_600_000, Repeatable: true},
			{Name: "record-lookup", Urgency: config.Urgent, Value: 10, DeadlineMS: 5000, Repeatable: true},
			{Name: "record-write", Urgency: config.Urgent, Value: 20, DeadlineMS: 10_000},
		},
		Models: models("summary-writer", 30, 10, [3]int64{8 * gigabyte, 20 * gigabyte, 36 * gigabyte}),
		Services: []config.PlainService{{
			Name: f.service, Path: "/records/",
			Calls: []config.Call{
				{Method: "GET", Path: "", Kind: "record-lookup"},
				{Method: "POST", Path: "", Kind: "record-write"},
				{Method: "PUT", Path: "", Kind: "record-write"},
			},
		}},
		Servers:   f.backendServers(),
		Limits:    config.DefaultLimits(),
		Placement: config.Placement{MovePrice: 20, MinResidenceMS: 300_000, PeriodMS: 1000},
	}
	doc.Limits.WeightLoads, doc.Limits.WeightLoadsRate = 17, 2
	doc.Adapters = adapters("airline-style", 110, doc.Models)
	doc.Teams = kabinakiTeams(doc)
	return doc
}

func kabinakiTeams(doc *config.Document) []config.Team {
	names := []string{"air-coral", "air-mangrove", "island-hopper", "outback-air", "reef-regional", "strait-air"}
	var list []config.Team
	for i, name := range names {
		list = append(list, config.Team{
			Name:        name,
			KeyHashes:   []string{KeyHash(Key(name))},
			Models:      assignedNames(doc, i, len(names)),
			Services:    []string{"records"},
			Kinds:       []string{"licence-question", "instructor-summary", "course-draft", "record-lookup"},
			DefaultKind: "instructor-summary",
			Weight:      1,
		})
	}
	return append(list, config.Team{
		Name:        "records-office",
		KeyHashes:   []string{KeyHash(Key("records-office"))},
		Models:      []string{config.AnyName},
		Services:    []string{"records"},
		Kinds:       []string{"course-draft", "audit-digest", "record-lookup", "record-write"},
		DefaultKind: "audit-digest",
		Weight:      2,
	})
}
