package main

// Routes and services of a small installation, after the sheet of khl-galley.
const (
	modelService = "menu-model"
	deskService  = "order-desk"
	draftPath    = "/draft/"
	notePath     = "/note/"
	bookPath     = "/book/"
	lookPath     = "/look/"
	firstKey     = "first-key"
	tenantName   = "first"
)

// config returns the operator's configuration; keys belong to one tenant.
func config(version int, keys []string, change func(routes []map[string]any)) map[string]any {
	routes := []map[string]any{
		{"name": "order-draft", "host": host, "prefix": draftPath, "kind": "streaming", "timeoutMs": 25000, name("target"): 3000, "gapAimMs": 800,
			"priority": 1, "maxAttempts": 3, "anonymous": false, "sessionAffinity": true, "resumable": true, "service": modelService},
		{"name": "diet-note", "host": host, "prefix": notePath, "kind": "streaming", "timeoutMs": 20000, name("target"): 1000, "gapAimMs": 800,
			"priority": 0, "maxAttempts": 3, "anonymous": false, "sessionAffinity": true, "resumable": true, "service": modelService},
		{"name": "galley-book", "host": host, "prefix": bookPath, "kind": "non_idempotent", "timeoutMs": 800, name("target"): 100,
			"priority": 2, "maxAttempts": 1, "anonymous": false, "service": deskService},
		{"name": "stock-look", "host": host, "prefix": lookPath, "kind": "idempotent", "timeoutMs": 800, name("target"): 100,
			"priority": 2, "maxAttempts": 2, "anonymous": false, "service": deskService},
	}
	if change != nil {
		change(routes)
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": modelService, "healthPath": "/health", "maxConns": 310, "engine": map[string]any{name("slots"): 48, "kvCapacityTokens": 439888}},
			map[string]any{"name": deskService, "healthPath": "/health", "maxConns": 110},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": tenantName, name("keys"): keys, "priority": 1}},
	}
}
