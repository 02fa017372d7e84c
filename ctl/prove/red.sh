#!/usr/bin/env bash
# Checks by mutation that the tests can fail: each "broken" line below breaks one
# mechanism in a scratch copy of the tree and runs the test that must detect it. A test
# that still passes is reported as NOT RED, and the script exits with an error, as it does
# when an expression matches nothing in its file.
#
# Usage: ctl/prove/red.sh [NAME]
# With RED_VERBOSE set, the end of each test's output is printed.
set -u
cd "$(dirname "$0")/../.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
cp -r core daemon ctl platform cmd go.work go.work.sum Makefile "$scratch"/ 2>/dev/null
failed=0

# broken NAME FILE SED-EXPRESSION MODULE TEST
# MODULE is the module whose tests contain TEST, or prove for the tests of ctl/prove.
broken() {
  [ -z "${only:-}" ] || [ "$only" = "$1" ] || return 0
  local file="$scratch/$2" original="$scratch/original" verdict out start
  cp "$file" "$original"
  sed -i -E "$3" "$file"
  if cmp -s "$file" "$original"; then
    echo "$1: the expression changes nothing in $2"; failed=1; return
  fi
  start=$(date +%s)
  if [ "$4" = prove ]; then
    out=$(cd "$scratch" && make build 2>&1 && cd ctl && go test -tags prove -count=1 -timeout 75s -run "^$5\$" ./prove 2>&1)
  else
    out=$(cd "$scratch/$4" && go test -count=1 -timeout 75s -run "^$5\$" ./... 2>&1)
  fi
  if [ $? -ne 0 ] && echo "$out" | grep -qE -- "--- FAIL: $5|panic:|test timed out|Falsified"; then verdict=red; else verdict="NOT RED"; failed=1; echo "$out" | tail -5; fi; [ -z "${RED_VERBOSE:-}" ] || echo "$out" | tail -30
  cp "$original" "$file"
  printf '%-24s %-32s %-8s %3d s  %s\n' "$1" "$5" "$verdict" $(($(date +%s) - start)) "$(echo "$out" | grep -E '_test.go:[0-9]+:' | tail -1 | cut -c1-110)"
}

only=${1:-}
broken no-claim             daemon/entry/execute.go        's/rep := e\.claim\(c\)$/var rep *reply/'                         prove  TestOnceServerSilent
broken no-quarantine        daemon/entry/attempt.go        's/; held \{$/; held \&\& false {/'                          prove  TestCrashingRequestsAreQuarantined
broken no-take-over         daemon/entry/durable.go        's/e\.gossip\.Holds\(takeOverRole\)/false/'         prove  TestDurableTakenOver
broken no-lease             daemon/lease/lease.go          's/return until != nil \&\& h\.now\(\)\.Before\(\*until\)/return until != nil/' prove TestRetireWhileEntryIsolated
broken no-drain             daemon/daemon.go               's/if err := d\.entry\.Wait\(ctx\); err != nil/if err := ctx.Err(); err != nil/' prove TestGracefulShutdown
broken resume-from-start    daemon/entry/attempt.go        's/backend\.Resume\(ctx, t, events\)/backend.Resume(ctx, t, 0)/;s/text, before := out\.partial\(\)/text, before := "", 0/' prove TestAnswersAreComplete
broken last-writer-wins     core/state/orders.go           's/if v == nil \{/if v == nil || v.Digest != o.Digest {/;s/if o\.Version <= s\.highest/if o.Version < s.highest/' prove TestOperatorsRace
broken nothing-persisted    daemon/replica/replica.go      's/if err := r\.store\.Append\(rd\.HardState, rd\.Entries\); err != nil/if err := error(nil); err != nil/' prove TestRestartAfterManyChanges
broken trusts-dispatcher    daemon/scheduler/scheduler.go  's/dispatcherTimeout = 700 \* time\.Millisecond/dispatcherTimeout = time.Hour/' prove TestFrozenDispatcher
broken no-pre-vote          core/raft/node.go              's/n\.campaign\(PreCandidate, false\)/n.campaign(Candidate, false)/' core TestIsolatedLeaderStepsDown
broken no-quorum-check      core/raft/node.go              's/if !n\.quorumActive\(\) \{/if false {/'                      core   TestIsolatedLeaderStepsDown
broken no-log-check         core/raft/replication.go       's/!ok \|\| t != m\.LogTerm/!ok || t == 0/'                      core   TestSafetyUnderFaults
broken vote-twice           core/raft/election.go          's/\(n\.vote == None \|\| n\.vote == m\.From\) \&\& //'           core   TestSafetyUnderFaults
broken two-voters-at-once   core/raft/node.go              's/votersChanged\(cur\.membership, m\) > 1/false/'               core   TestReplaceLostDisk
broken any-owner            core/state/calls.go            's/if r\.CallID == c\.CallID \&\& r\.Phase != PhaseDone \{/if r.Phase != PhaseDone {/' core TestOneOwnerPerKey
broken forgets-early        core/state/calls.go            's/return k\.Millis < now-Retention\.Milliseconds\(\) \|\| /return /' core TestKeysAreForgottenOnlyWhenRefused
broken announced-limit-unread core/dispatch/grant.go       's/ \|\| !s\.allowsRequest\(now\)//'                         prove  TestAnnouncedLimitHoldsOverAllInstances
broken whole-limit-each     core/ratelimit/share.go        's/return k\.Own \/ \(k\.Own \+ s\.others\)/return 1/'          core   TestInstancesTogetherKeepToALimit
broken tokens-add-up        core/ratelimit/bucket.go       's/if b\.credit > maxCredit/if false/'                        core   TestInstancesTogetherKeepToALimit
broken sheds-upward         core/dispatch/pool.go          's/lower\.policy\.Tier <= c\.policy\.Tier/false/'               core   TestNeverShedsSameOrHigherTier
broken no-shares            core/dispatch/grant.go         's/if c\.recentWork < c\.policy\.Share\*total/if false/'            core   TestEveryClassRuns
broken refuses-unwaited     core/dispatch/pool.go          's/maxFirstTokenFraction = 0\.5/maxFirstTokenFraction = 5/'    core   TestGivesUpOnlyForWaiting
broken sent-twice           daemon/backend/backend.go      's/onceReader\{bytes\.NewReader\(body\)\}/bytes.NewReader(body)/' daemon TestNothingIsSentTwice
broken acks-unsynced        daemon/storage/storage.go      's/if err := s\.segment\.Sync\(\); err != nil \{/if err := error(nil); err != nil {/' daemon TestFailedSyncIsFinal
broken no-mac               daemon/frame/frame.go          's/if !hmac\.Equal\(.*\) \{/if false {/'                         daemon TestTamperedReplayedAndHugeFrames
broken lease-from-answer    daemon/lease/lease.go          's/until := sent\.Add\(/until := time.Now().Add(/'              daemon TestLeaseCountsFromSending
exit $failed
