# Computes the figures of one run from the reports of the load tool, one for each class. A
# request counts as whole when it is answered within its deadline, retries included.
def sums: [.[] | to_entries[]] | group_by(.key) | map({key: .[0].key, value: (map(.value) | add)}) | from_entries;
# The seconds from @from to before @to.
def between(from; to): map(select(.second >= from and .second < to));
def total(f): map(f) | add // 0;

([.[].seconds[] | .second as $second | .classes | to_entries[]
  | {second: $second, class: .key, requests: .value.requests, attempts: .value.attempts,
     whole: .value.in_time, finished: .value.finished_in_time, p99_us: (.value.latency.p99_us // 0)}]) as $rows
| ($rows | group_by(.second) | map({second: .[0].second, requests: total(.requests),
    attempts: total(.attempts), whole: total(.whole), finished: total(.finished), p99_us: (map(.p99_us) | max)})) as $seconds
| ($before + $trigger) as $stop
| ($stop + $after) as $last
| ($seconds | between($before; $stop)) as $during
| ([$capacity * $trigger, ($during | total(.requests))] | min) as $bound
# The last second after the trigger in which less than 95 % of the requests were whole.
| ($seconds | between($stop; $last) | map(select(.whole < 0.95 * .requests) | .second) | max) as $last_incomplete
| ($rows | map(select(.class == "release"))) as $critical
| {policy: $policy, capacity_per_second: $capacity,
   whole_before: (($seconds | between($settle; $before)) | total(.whole) / total(.requests)),
   goodput_during: (($during | total(.finished)) / $bound),
   whole_after: (($seconds | between($stop; $last)) | total(.whole) / total(.requests)),
   recovery_s: (if $last_incomplete == null then 0 else $last_incomplete + 1 - $stop end),
   recovered: ($last_incomplete == null or $last_incomplete + 1 < $last),
   critical_whole: (($critical | total(.whole)) / ($critical | total(.requests))),
   attempts_per_request_during: (($during | total(.attempts)) / ($during | total(.requests))),
   p99_before_ms: (($seconds | between($settle; $before) | map(.p99_us) | max) / 1000),
   p99_after_ms: (($seconds | between($stop + 2; $last) | map(.p99_us) | max) / 1000),
   seconds: $seconds}
