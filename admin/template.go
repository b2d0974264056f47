package main

// pageTemplate is the HTML template of the burn report. It has no scripts and loads no other
// resources, so that the page can be stored and sent as one file.
const pageTemplate = `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>Error budget report, {{.AsOf}}</title>
<style>
:root { color-scheme: light dark; --text: #1c2329; --soft: #5d6b78; --line: #d8dee4; --back: #fff; --panel: #f6f8fa;
  --good: #2f855a; --refused: #b7791f; --late: #c05621; --unknown: #c53030; --wait: #3b6fb6; }
@media (prefers-color-scheme: dark) { :root { --text: #e6edf3; --soft: #9aa7b4; --line: #333c45; --back: #0f1419; --panel: #171d24;
  --good: #48bb78; --refused: #ecc94b; --late: #ed8936; --unknown: #fc8181; --wait: #7aa7e0; } }
body { font: 14px/1.45 system-ui, sans-serif; color: var(--text); background: var(--back); max-width: 1120px; margin: 24px auto; padding: 0 16px; }
h1 { font-size: 22px; margin: 0; } h2 { font-size: 16px; margin: 28px 0 8px; } h3 { font-size: 14px; margin: 0 0 8px; }
p { margin: 4px 0; } .soft { color: var(--soft); }
.verdict { margin: 14px 0; padding: 10px 14px; border-left: 4px solid var(--good); background: var(--panel); font-size: 15px; }
.verdict.burning { border-color: var(--unknown); }
.missing { margin: 14px 0; padding: 10px 14px; border-left: 4px solid var(--refused); background: var(--panel); }
.columns { display: grid; grid-template-columns: repeat(auto-fit, minmax(420px, 1fr)); gap: 8px 32px; }
.scroll { overflow-x: auto; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: left; padding: 4px 10px 4px 0; border-bottom: 1px solid var(--line); white-space: nowrap; }
th { color: var(--soft); font-weight: 600; font-size: 12px; } .number { text-align: right; font-variant-numeric: tabular-nums; }
.bad { color: var(--unknown); font-weight: 600; } .warn { color: var(--refused); } .fine { color: var(--good); }
.track { display: inline-block; width: 90px; height: 9px; background: var(--line); vertical-align: middle; margin-right: 8px; }
.fill { display: block; height: 100%; background: currentColor; }
.bar { display: grid; grid-template-columns: 110px 1fr; gap: 10px; align-items: center; margin: 5px 0; }
.bar .name { text-align: right; overflow: hidden; text-overflow: ellipsis; }
.bar .body { display: flex; align-items: center; gap: 8px; } .bar .fill { height: 14px; min-width: 2px; flex: none; } .bar .body span { white-space: nowrap; }
.panel { background: var(--panel); border: 1px solid var(--line); padding: 12px 14px; margin: 10px 0; }
.plots { display: flex; flex-wrap: wrap; gap: 16px 40px; }
svg { font: 11px system-ui, sans-serif; overflow: visible; } svg text { fill: var(--soft); }
.good { color: var(--good); } .refused { color: var(--refused); } .late { color: var(--late); } .unknown { color: var(--unknown); } .wait { color: var(--wait); }
rect { fill: currentColor; } polyline { fill: none; stroke: var(--wait); stroke-width: 1.8; } .axis { stroke: var(--line); }
.legend span { margin-right: 14px; } .legend i { display: inline-block; width: 10px; height: 10px; background: currentColor; margin-right: 5px; }
</style>
</head>
<body>
<h1>Error budget report</h1>
<p class="soft">{{.AsOf}}, last 6 hours, merged over {{len .Vms}} entry VMs:{{range .Vms}} {{.}}{{end}}</p>
{{if .Missing}}<div class="missing">No answer from these VMs, which are not counted:{{range .Missing}} {{.}}{{end}}</div>{{end}}
<div class="verdict{{if .Burning}} burning{{end}}">{{.Verdict}}</div>

<div class="columns">
<section>
<h2>Budget spent by caller</h2>
{{range .Spent}}<div class="bar"><span class="name">{{.Name}}</span><span class="body"><span class="fill {{.Kind}}" style="width: calc({{printf "%.1f" .Width}}% * 0.45)"></span><span>{{.Text}}</span></span></div>
{{else}}<p class="soft">No requests.</p>
{{end}}</section>
<section>
<h2>Limit hits by caller</h2>
{{range .Hits}}<div class="bar"><span class="name">{{.Name}}</span><span class="body"><span class="fill {{.Kind}}" style="width: calc({{printf "%.1f" .Width}}% * 0.45)"></span><span>{{.Text}}</span></span></div>
{{else}}<p class="soft">No caller hit a limit.</p>
{{end}}</section>
</div>

<h2>Objectives</h2>
<p class="soft">A burn rate of 1 spends the budget in exactly its period. Act on rows with a rate above 1 over both 5 minutes and 1 hour.</p>
<div class="scroll">
<table>
<tr><th>caller</th><th>class</th><th>objective</th><th class="number">target</th><th class="number">requests</th><th class="number">bad</th><th>budget left</th><th class="number">burn 5m</th><th class="number">1h</th><th class="number">6h</th><th class="number">wait p50</th><th class="number">wait p99</th></tr>
{{range .Rows}}<tr><td>{{.Caller}}</td><td>{{.Class}}</td><td>{{.Objective}}</td><td class="number">{{.Target}}</td><td class="number">{{.Total}}</td><td class="number">{{.Bad}}</td><td class="{{.Kind}}"><span class="track"><span class="fill" style="width: {{printf "%.1f" .LeftWidth}}%"></span></span>{{.Left}}</td>{{range .Rates}}<td class="number {{.Kind}}">{{.Text}}</td>{{end}}<td class="number">{{.P50}}</td><td class="number">{{.P99}}</td></tr>
{{end}}</table>
</div>

<h2>The last hour</h2>
<p class="legend"><span class="good"><i></i>completed in window</span><span class="refused"><i></i>refused, not run</span><span class="late"><i></i>accepted, not in window</span><span class="unknown"><i></i>unknown outcome</span><span class="wait"><i></i>waiting time p99</span></p>
{{$width := .Width}}{{$height := .Height}}{{range .Panels}}<div class="panel">
<h3>{{.Title}}</h3>
<div class="plots">
<svg width="560" height="150" viewBox="-40 -8 560 150" role="img" aria-label="requests of {{.Title}} by minute">
<line class="axis" x1="0" x2="{{$width}}" y1="{{$height}}" y2="{{$height}}"/>
{{range .Minutes.Bars}}<rect class="{{.Kind}}" x="{{printf "%.1f" .X}}" y="{{printf "%.1f" .Y}}" width="{{printf "%.1f" .Width}}" height="{{printf "%.1f" .Height}}"><title>{{.Title}}</title></rect>
{{end}}<polyline points="{{.Minutes.Line}}"/>
<text x="-6" y="6" text-anchor="end">{{.Minutes.MostRequests}}</text><text x="-6" y="{{$height}}" text-anchor="end">0</text>
<text class="wait" x="{{$width}}" y="6" dx="6">{{.Minutes.MostWait}}</text>
{{range .Minutes.Labels}}<text x="{{.X}}" y="{{.Y}}">{{.Text}}</text>{{end}}
</svg>
<svg width="240" height="130" viewBox="0 0 240 130" role="img" aria-label="waiting times of {{.Title}}">
{{range .Waits.Bars}}<rect class="{{.Kind}}" x="{{printf "%.1f" .X}}" y="{{printf "%.1f" .Y}}" width="{{printf "%.1f" .Width}}" height="{{printf "%.1f" .Height}}"><title>{{.Title}}</title></rect>
{{end}}{{range .Waits.Labels}}<text x="{{printf "%.1f" .X}}" y="{{printf "%.1f" .Y}}">{{.Text}}</text>
{{end}}</svg>
</div>
</div>
{{end}}</body>
</html>
`
