package lab

// Config returns a configuration with a streaming, an unsafe and a safe route.
func Config(version int, change ...func(m map[string]any)) map[string]any {
	m := map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-ask", "host": "ficu95.example", "path_prefix": "/pufi791/", "kind": "streaming", "timeout_ms": 10000, "target_latency_ms": 250,
				"priority": 0, "service": "briefing-llm", "max_attempts": 1, "public": false, "sticky": true, "resumable": false, "target_gap_ms": 200},
			map[string]any{"name": "r-digest", "host": "ficu95.example", "path_prefix": "/lohu930/", "kind": "streaming", "timeout_ms": 10000, "target_latency_ms": 1500,
				"priority": 2, "service": "briefing-llm", "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "target_gap_ms": 800},
			map[string]any{"name": "r-reply", "host": "ficu95.example", "path_prefix": "/puxa403/", "kind": "unsafe", "timeout_ms": 1000, "target_latency_ms": 100,
				"priority": 2, "service": "roster-svc", "max_attempts": 1, "public": false, "sticky": false, "resumable": false},
			map[string]any{"name": "r-ping", "host": "ficu95.example", "path_prefix": "/ping22/", "kind": "safe", "timeout_ms": 1000, "target_latency_ms": 100,
				"priority": 2, "service": "roster-svc", "max_attempts": 2, "public": false, "sticky": false, "resumable": false},
		},
		"services": []any{
			map[string]any{"name": "briefing-llm", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 64, "kv_capacity_tokens": 444000, "kv_token_bytes": 131072, "link_mbps": 260000.0, "moves": true, "backups": true,
					"stride": 8, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "roster-svc", "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{"key-1", "key-2"}, "priority": 1}},
	}
	for _, c := range change {
		c(m)
	}
	return m
}
