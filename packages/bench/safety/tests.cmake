# A few hundred schedules in every test run, and one run for each rule that is
# broken on purpose, which has to be caught.
if(BUILD_TESTING)
  add_test(NAME safety_schedules COMMAND bench_safety --seeds 300 --threads 2)
  foreach(mutation skip_watermark start_after_lost_reply forward_twice
                   evict_early hand_over_late)
    add_test(NAME safety_catches_${mutation}
             COMMAND bench_safety --seeds 100 --threads 2 --mutation
                     ${mutation} --expect-caught)
  endforeach()
endif()
