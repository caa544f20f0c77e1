Feature: P4 A request that is reported as not run did not run

  Background:
    Given a fleet of 8 workers in racks of 4
    And team "a" with a guarantee of 2 gangs of 2 x 4 accelerators
    And the configuration is in force

  Scenario: A request that waits too long expires
    When "a" submits 8 "index" requests that run 20 s
    And 3 s pass
    And "a" submits an "index" request "late" that runs 1 s and waits at most 4 s
    Then "late" ends as "expired" with ran "no"
    And "late" was started as 0 attempts
    And the history shows no violation

  Scenario Outline: Cancel at each step
    When at the next "<step>" the caller cancels "first"
    And "a" submits a "match" request "first" that runs 20 s
    Then "first" ends as "cancelled"
    And the history shows no violation

    Examples:
      | step            |
      | queued commit   |
      | reserve command |
      | claimed commit  |
      | start command   |
      | running commit  |

  Scenario: Cancel while the request is queued
    When "a" submits 8 "index" requests that run 20 s
    And 3 s pass
    And "a" submits an "index" request "late" that runs 1 s
    And 2 s pass
    And the caller cancels "late"
    Then "late" ends as "cancelled" with ran "no"
    And the history shows no violation

  Scenario Outline: Cancel while the owner or the store fails
    When at the next "claimed commit" <fault>
    And at the next "claimed commit" the caller cancels "first"
    And "a" submits a "match" request "first" that runs 20 s
    Then "first" ends as "cancelled"
    And the history shows no violation

    Examples:
      | fault                              |
      | the owner is killed                |
      | the owner is frozen for 9 s        |
      | the store loses its next 1 answers |
      | the store is down for 10 s         |

  Scenario Outline: Cancel of a request whose submission got no answer
    When at the next "queued commit" <fault>
    And "a" submits a "match" request "first" that runs 20 s through node n1 without retries
    And 5 s pass
    And the caller of "first" switches to node n2
    Then "first" ends as "cancelled"
    And the history shows no violation

    Examples:
      | fault                                               |
      | node n1 is killed                                   |
      | node n1 is frozen for 9 s                           |
      | node n1 receives no replies from the store for 30 s |

  Scenario: A submission that is delayed is not recorded after its cancellation
    When node n1 is frozen for 12 s
    And "a" submits a "match" request "first" that runs 2 s through node n1 without retries
    And 5 s pass
    And the caller of "first" switches to node n2
    And 30 s pass
    Then "first" ends as "cancelled" with ran "no"
    And "first" was started as 0 attempts
    And the history shows no violation

  Scenario: Refused while the store is down
    When the store is down for 20 s
    And "a" submits a "match" request "first" that runs 2 s through node n1 without retries
    And 40 s pass
    Then the history shows no violation

  Scenario: Refused while a node is stopping
    When node n1 stops as planned
    And "a" submits a "match" request "first" that runs 2 s through node n1 without retries
    Then "first" ends as "not_run" with ran "no"
    And "first" was started as 0 attempts
    And the history shows no violation

  Scenario: The queue of a caller is full
    When "a" submits 8 "index" requests that run 20 s
    And "a" submits 300 "index" requests that run 0 s
    And 2 s pass
    And "a" submits a "match" request "first" that runs 2 s through node n1 without retries
    Then the history shows no violation

  Scenario: Many cancellations at once
    When "a" submits 60 "draft" requests that run 3 s
    And 4 s pass
    And all callers cancel
    And 1 s pass
    And "a" submits a "match" request "after" that runs 1 s
    Then "after" completes with its own answer
    And the history shows no violation
