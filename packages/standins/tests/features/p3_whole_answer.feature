Feature: P3 Each caller receives the whole answer to its own request

  Background:
    Given a fleet of 8 workers in racks of 4
    And team "a" with a guarantee of 2 gangs of 2 x 4 accelerators
    And the configuration is in force

  Scenario: Delayed answers arrive out of order
    When messages are delayed by up to 0.4 s for 60 s
    And "a" submits 10 "draft" requests that run 1 s
    Then every request ends as "completed"
    And the history shows no violation

  Scenario: Messages are delayed beyond the time limit of a start
    When messages are delayed by up to 2 s for 60 s
    And "a" submits 10 "match" requests that run 1 s
    And "a" submits 10 "draft" requests that run 1 s
    And 60 s pass
    Then the history shows no violation

  Scenario: An answer that is damaged in the object store is not returned
    When at the next "completed commit" the stored answer of "first" is damaged
    And "a" submits a "match" request "first" that runs 1 s
    And 20 s pass
    Then "first" has no outcome yet

  Scenario: An answer that is truncated between worker and owner is fetched again
    When the next answer is truncated in transit
    And "a" submits a "match" request "first" that runs 1 s
    Then "first" completes with its own answer
    And the history shows no violation

  Scenario Outline: A worker restarts before its answer is stored
    When at the next "<step>" the worker of "first" restarts
    And "a" submits a "draft" request "first" that runs 1 s
    Then "first" completes with its own answer
    And the history shows no violation

    Examples:
      | step           |
      | running commit |
      | answer command |
      | stored answer  |

  Scenario Outline: A worker is lost permanently before its answer is stored
    When at the next "start command" the owner receives no replies from the store for 12 s
    And at the next "answer command" the worker of "first" is lost
    And "a" submits a "<template>" request "first" that runs 2 s
    Then "first" ends as "<state>"
    And the history shows no violation

    Examples:
      | template | state     |
      | match    | failed    |
      | draft    | completed |

  Scenario: A worker is cut off for a long time before its answer is stored
    When at the next "start command" the owner receives no replies from the store for 12 s
    And at the next "answer command" the worker of "first" is cut off for 60 s
    And "a" submits a "match" request "first" that runs 2 s
    Then "first" completes with its own answer
    And "first" was started as 1 attempt
    And the history shows no violation

  Scenario: A non-idempotent request whose answer was lost is reported as failed
    When the answer to the next answer command is lost
    And at the next "answer command" the worker of "first" restarts
    And "a" submits a "match" request "first" that runs 1 s
    Then "first" ends as "failed" with ran "yes"
    And "first" was started as 1 attempt
    And the history shows no violation

  Scenario: The answer is fetched through another node than the submission
    When "a" submits a "match" request "first" that runs 2 s through node n1
    And 1 s pass
    And node n1 is killed
    And the caller of "first" switches to node n3
    Then "first" completes with its own answer
    And the history shows no violation

  Scenario: The owner is killed between storing the answer and recording the completion
    When at the next "stored answer" the owner is killed
    And "a" submits a "match" request "first" that runs 1 s
    Then "first" completes with its own answer
    And "first" was started as 1 attempt
    And the history shows no violation

  Scenario: The answer of an abandoned attempt is not mixed with that of the next
    When at the next "start command" that worker has its replies dropped for 30 s
    And "a" submits a "draft" request "first" that runs 2 s
    And "a" submits a "draft" request "second" that runs 2 s
    Then "first" completes with its own answer
    And "second" completes with its own answer
    And the history shows no violation
