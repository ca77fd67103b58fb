#!/usr/bin/env bash
# Guards against review/11: clients that read long answers slowly but steadily are cut in the middle, while
# a good part of the memory is free. More of them than the memory bears are refused, and never run.
set -euo pipefail
. "$(dirname "$0")/node_lib.sh"

memory_mb=260
clients=26
answer_bytes=10000000
bytes_per_second=1800000

start_two_fronts_and_backs 20
"$build/fq-standin-steady_readers" "$(ip 1):$requests_port" "/safe/bytes=$answer_bytes" $clients 100 \
  $bytes_per_second >"$work/answers"
whole=$(grep -c "^200 $answer_bytes $answer_bytes$" "$work/answers" || true)
refused=$(grep -c '^503 ' "$work/answers" || true)
echo "$whole of $clients whole, $refused refused"
[ $((whole + refused)) = $clients ] || fail "cut: $(grep -vE "^(200 $answer_bytes|503) " "$work/answers" | tr '\n' ';')"
[ "$whole" -ge $((clients / 3)) ] || fail "only $whole of $clients were served"
peak=$(awk '/VmHWM/ { print $2 }' "/proc/$(pid_of m1)/status")
echo "peak memory $peak kB, allowed $((memory_mb * 1024)) kB"
case $build in *asan*) exit 0 ;; esac
[ "$peak" -le $((memory_mb * 1024)) ] || fail "m1 needed $peak kB"
