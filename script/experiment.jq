# Computes the figures of one run from the reports of the load tool, one for each class. A
# request counts as whole when it is answered within its deadline, retries included.
def sums: [.[] | to_entries[]] | group_by(.key) | map({key: .[0].key, value: (map(.value) | add)}) | from_entries;
# The seconds from @from to before @to.
def of(from; to): map(select(.second >= from and .second < to));
def total(f): map(f) | add // 0;

([.[].seconds[] | .second as $second | .classes | to_entries[]
  | {second: $second, class: .key, requests: .value.requests, attempts: .value.attempts,
     whole: .value.in_time, finished: .value.finished_in_time, p99_us: (.value.latency.p99_us // 0)}]) as $rows
| ($rows | group_by(.second) | map({second: .[0].second, requests: total(.requests),
    attempts: total(.attempts), whole: total(.whole), finished: total(.finished), p99_us: (map(.p99_us) | max)})) as $seconds
| ($before + $trigger) as $stop
| ($stop + $after) as $last
| ($seconds | of($before; $stop)) as $during
| ([$capacity * $trigger, ($during | total(.requests))] | min) as $bound
| ($seconds | of($stop; $last) | map(select(.whole < 0.95 * .requests) | .second) | max) as $late
| ($rows | map(select(.class == "release"))) as $critical
| {policy: $policy, capacity_per_second: $capacity,
   whole_before: (($seconds | of($settle; $before)) | total(.whole) / total(.requests)),
   goodput_during: (($during | total(.finished)) / $bound),
   whole_after: (($seconds | of($stop; $last)) | total(.whole) / total(.requests)),
   recovery_s: (if $late == null then 0 else $late + 1 - $stop end),
   recovered: ($late == null or $late + 1 < $last),
   critical_whole: (($critical | total(.whole)) / ($critical | total(.requests))),
   attempts_per_request_during: (($during | total(.attempts)) / ($during | total(.requests))),
   p99_before_ms: (($seconds | of($settle; $before) | map(.p99_us) | max) / 1000),
   p99_after_ms: (($seconds | of($stop + 2; $last) | map(.p99_us) | max) / 1000),
   seconds: $seconds}
