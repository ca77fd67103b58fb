# Draws the answered requests per second of each run as an SVG, with the requests of the
# first run.
def colour: {none: "#c0392b", fixed: "#e67e22", adaptive: "#27ae60"};
([.runs[].seconds[].requests] | max) as $top
| ([.runs[].seconds[].second] | max) as $last
| def x: 60 + . * 640 / $last;
  def y: 320 - . * 280 / $top;
  def line(f): map("\(.second | x),\(f | y)") | join(" ");
"<svg xmlns='http://www.w3.org/2000/svg' width='760' height='380' font-family='sans-serif' font-size='12'>",
"<rect width='760' height='380' fill='white'/>",
"<text x='60' y='20'>\(.name), \(.deployment), commit \(.commit), seed \(.seed): whole answers per second</text>",
"<polyline fill='none' stroke='#999' stroke-dasharray='4' points='\(.runs[0].seconds | line(.requests))'/>",
(.runs | to_entries[] |
  "<polyline fill='none' stroke='\(colour[.value.policy])' stroke-width='2' points='\(.value.seconds | line(.whole))'/>",
  "<text x='\(60 + .key * 120)' y='365' fill='\(colour[.value.policy])'>\(.value.policy)</text>"),
"<text x='460' y='365' fill='#999'>requests (dashed)</text>",
"<line x1='60' y1='320' x2='700' y2='320' stroke='black'/><line x1='60' y1='40' x2='60' y2='320' stroke='black'/>",
"<text x='10' y='44'>\($top)</text><text x='30' y='324'>0</text><text x='690' y='338'>\($last) s</text>",
"</svg>"
