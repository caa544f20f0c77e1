Feature: P2 No gang runs partially

  Background:
    Given a fleet of 8 workers in racks of 4
    And team "a" with a guarantee of 2 gangs of 2 x 4 accelerators
    And the configuration is in force

  Scenario Outline: A worker of the gang fails or its messages are lost
    When <fault>
    And "a" submits a "photo" request "idempotent" that runs 3 s
    Then "idempotent" completes with its own answer
    And the history shows no violation

    Examples:
      | fault                                                                    |
      | the next reserve command is refused                                      |
      | the next reserve command is lost                                         |
      | the answer to the next reserve command is lost                           |
      | the next start command is refused                                        |
      | the next start command is lost                                           |
      | the answer to the next start command is lost                             |
      | at the next "reserve command" that worker restarts                       |
      | at the next "start command" that worker restarts                         |
      | at the next "reserve command" that worker is cut off for 20 s            |
      | at the next "claimed commit" the last worker of "idempotent" is cut off  |
      | at the next "claimed commit" the last worker of "idempotent" restarts    |
      | at the next "start command" that worker is cut off for 30 s              |
      | at the next "start command" that worker has its replies dropped for 30 s |
      | at the next "start command" that worker is lost                          |
      | at the next "running commit" the worker of "idempotent" restarts         |
      | at the next "running commit" the last worker of "idempotent" is cut off  |

  Scenario: A task that fails stops the other tasks of its gang
    When "a" submits a "draft" request "bad" that fails
    Then "bad" ends as "failed" with ran "yes"
    And no task runs on the worker of "bad"
    And no task runs on the last worker of "bad"
    And the history shows no violation

  Scenario: A worker that is cut off stops its task when the lease lapses
    When "a" submits a "draft" request "long" that runs 60 s
    And 3 s pass
    And the last worker of "long" is cut off
    And 11 s pass
    Then no task runs on worker w000
    And the history shows no violation

  Scenario: A worker is cut off and the owner is killed
    When "a" submits a "draft" request "long" that runs 60 s
    And 3 s pass
    And the last worker of "long" is cut off
    And the owner is killed
    Then "long" completes with its own answer
    And the history shows no violation

  Scenario: Running gangs survive an hour without the store
    When "a" submits a "match" request "long" that runs 3500 s
    And 3 s pass
    And the store is down for 3600 s
    And 3600 s pass
    Then "long" completes with its own answer
    And "long" was started as 1 attempt
    And no started task ended early
    And the history shows no violation
