Feature: P1 A guaranteed shape can always be reclaimed

  Background:
    Given a fleet of 8 workers in racks of 4
    And team "a" with a guarantee of 2 gangs of 2 x 4 accelerators
    And team "b" without a guarantee
    And the configuration is in force

  Scenario: Idle guaranteed capacity is used by another team and reclaimed
    When "b" submits 8 "index" requests that run 30 s
    And 3 s pass
    Then "index-7" was started as 1 attempt
    When "a" submits a "match" request "first" that runs 2 s
    And "a" submits a "match" request "second" that runs 2 s
    Then "first" starts within 1.4 s
    And "second" starts within 1.4 s
    And every request ends as "completed"
    And the history shows no violation

  Scenario: Reclaim while the store is slow
    When "b" submits 8 "index" requests that run 30 s
    And 3 s pass
    And the store is slow for 60 s
    And "a" submits a "match" request "first" that runs 2 s
    Then "first" completes with its own answer
    And the history shows no violation

  Scenario: Reclaim from a worker that is cut off
    When "b" submits 8 "index" requests that run 60 s
    And 3 s pass
    And the worker of "index-0" is cut off
    And the worker of "index-1" is cut off
    And "a" submits a "match" request "first" that runs 2 s
    And "a" submits a "match" request "second" that runs 2 s
    Then "first" completes with its own answer
    And "second" completes with its own answer
    And "first" starts within 16 s
    And "second" starts within 16 s

  Scenario: Reclaim just after a takeover
    When "b" submits 8 "index" requests that run 60 s
    And 3 s pass
    And the owner is killed
    And 4 s pass
    And "a" submits a "match" request "first" that runs 2 s
    Then "first" starts within 1.4 s
    And the history shows no violation

  Scenario Outline: The owner fails in the middle of a reclaim
    When "b" submits 8 "index" requests that run 60 s
    And 3 s pass
    And at the next "stop command" the owner is <fault>
    And "a" submits a "match" request "first" that runs 2 s
    Then "first" starts within 6.4 s
    And the history shows no violation

    Examples:
      | fault          |
      | killed         |
      | frozen for 9 s |

  Scenario: Requests that cannot be preempted get no guaranteed capacity of others
    When "b" submits 8 "once" requests that run 60 s
    And 3 s pass
    And "a" submits a "match" request "first" that runs 2 s
    Then "first" starts within 1.4 s
    And "first" completes with its own answer

  Scenario: Guarantees that cannot all be placed are refused
    When an operator publishes a guarantee of 7 gangs of 2 x 4 accelerators for "b" through node n2
    And 2 s pass
    Then the last publish is refused with findings
    When an operator publishes a guarantee of 2 gangs of 2 x 4 accelerators for "b" through node n2
    And 2 s pass
    Then the last publish is accepted

  Scenario: A flood of requests of one team does not block the guarantee of another
    When "b" submits 40 "draft" requests that run 5 s
    And 5 s pass
    And "a" submits a "match" request "first" that runs 2 s
    Then "first" starts within 1.4 s
    And the history shows no violation
