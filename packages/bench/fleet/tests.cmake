# Some schedules in every test run, and one run for each rule that is broken on
# purpose, which has to be caught.
if(BUILD_TESTING)
  add_test(NAME fleet_schedules COMMAND bench_fleet --seeds 1000 --threads 2)
  add_test(NAME fleet_sizes COMMAND bench_fleet --sizes)
  add_test(NAME fleet_job_costs COMMAND bench_fleet --jobs)
  # A home was killed and its tasks' controller cut off before it noticed.
  foreach(seed 2919 8269 9141)
    add_test(NAME fleet_regression_${seed}
             COMMAND bench_fleet --seeds 1 --first ${seed})
  endforeach()
  foreach(mutation no_fence_check no_lease_wait keep_silent_home no_settling
                   ignore_draining forget_crashes)
    add_test(NAME fleet_catches_${mutation}
             COMMAND bench_fleet --seeds 2000 --threads 2 --mutation ${mutation}
                     --expect-caught)
  endforeach()
  add_test(NAME fleet_catches_no_message_age
           COMMAND bench_fleet --seeds 1000 --threads 2 --mutation no_message_age
                   --expect-caught)
  add_test(NAME fleet_catches_no_job_claims
           COMMAND bench_fleet --seeds 50 --threads 2 --mutation no_job_claims
                   --expect-caught)
  # Every tenth seed has evacuations, which break these almost always.
  foreach(mutation ignore_evacuation no_evacuation_relay)
    add_test(NAME fleet_catches_${mutation}
             COMMAND bench_fleet --seeds 300 --threads 2 --mutation ${mutation}
                     --expect-caught)
  endforeach()
endif()
