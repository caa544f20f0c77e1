Feature: P5 A non-idempotent request runs at most once

  Background:
    Given a fleet of 8 workers in racks of 4
    And team "a" with a guarantee of 4 gangs of 2 x 4 accelerators
    And the configuration is in force

  Scenario Outline: The owner fails at a step
    When at the next "<step>" the owner is <fault>
    And "a" submits a "match" request "first" that runs 3 s
    Then every request ends as "<state>"
    And the history shows no violation

    Examples:
      | step             | fault            | state     |
      | queued commit    | killed           | completed |
      | queued commit    | frozen for 9 s   | completed |
      | reserve command  | killed           | completed |
      | reserve command  | frozen for 9 s   | completed |
      | claimed commit   | killed           | completed |
      | claimed commit   | frozen for 9 s   | completed |
      | claimed commit   | frozen for 1.5 s | completed |
      | start command    | killed           | completed |
      | start command    | frozen for 9 s   | completed |
      | start command    | frozen for 20 s  | completed |
      | running commit   | killed           | completed |
      | running commit   | frozen for 9 s   | completed |
      | answer command   | killed           | completed |
      | stored answer    | killed           | completed |
      | stored answer    | frozen for 9 s   | completed |
      | completed commit | killed           | completed |

  Scenario Outline: The store loses answers
    When at the next "<step>" the store loses its next <count> answers
    And "a" submits a "match" request "first" that runs 3 s
    Then "first" completes with its own answer
    And "first" was started as 1 attempt
    And the history shows no violation

    Examples:
      | step             | count |
      | queued commit    | 1     |
      | queued commit    | 4     |
      | claimed commit   | 1     |
      | claimed commit   | 3     |
      | running commit   | 3     |
      | stored answer    | 2     |
      | completed commit | 5     |

  Scenario Outline: A worker fails at a step
    When at the next "<step>" that worker <fault>
    And "a" submits a "match" request "first" that runs 3 s
    Then "first" ends as "<state>"
    And the history shows no violation

    Examples:
      | step            | fault                           | state     |
      | reserve command | restarts                        | failed    |
      | reserve command | is cut off for 20 s             | completed |
      | start command   | restarts                        | failed    |
      | start command   | is lost                         | failed    |
      | start command   | has its replies dropped for 4 s | failed    |

  Scenario: The worker of a gang of one task restarts after the start
    When at the next "start command" that worker restarts
    And "a" submits a "once" request "first" that runs 3 s
    Then "first" ends as "failed"
    And "first" was started as 1 attempt
    And the history shows no violation

  Scenario: A start that was not answered leaves the outcome unknown until the worker answers
    When at the next "start command" that worker is cut off for 60 s
    And "a" submits a "match" request "first" that runs 3 s
    And 40 s pass
    Then "first" has no outcome yet
    And "first" ends as "failed"
    And the history shows no violation

  Scenario: A start that was not answered leaves the outcome unknown until the worker is gone
    When at the next "start command" that worker is cut off
    And "a" submits a "match" request "first" that runs 3 s
    And 40 s pass
    Then "first" has no outcome yet
    When the worker of "first" is removed from the VM list
    And the last worker of "first" is removed from the VM list
    Then "first" ends as "failed"
    And the history shows no violation

  Scenario: A notification that arrives after the outcome
    When the next submitted message is delayed by 9 s
    And "a" submits a "match" request "first" that runs 1 s through node n1
    And the next submitted message is delayed by 9 s
    And "a" submits a "match" request "second" that runs 1 s through node n2
    And the next submitted message is delayed by 9 s
    And "a" submits a "match" request "third" that runs 1 s through node n3
    And 20 s pass
    Then every request ends as "completed"
    And "first" was started as 1 attempt
    And "second" was started as 1 attempt
    And "third" was started as 1 attempt
    And the history shows no violation

  Scenario: Two owners in a row are killed after the start command
    When at the next "start command" the owner is killed
    And "a" submits a "match" request "first" that runs 30 s
    And 8 s pass
    And the owner is killed
    Then "first" completes with its own answer
    And "first" was started as 1 attempt
    And the history shows no violation

  Scenario: The owner is cut off from the store while it claims
    When at the next "reserve command" the owner is cut off from the store for 30 s
    And "a" submits a "match" request "first" that runs 3 s
    Then "first" completes with its own answer
    And "first" was started as 1 attempt
    And the history shows no violation

  Scenario Outline: A command is delayed
    When the next <verb> command is delayed by <delay> s
    And "a" submits a "match" request "first" that runs 3 s
    And 3 s pass
    And "a" submits a "match" request "second" that runs 3 s
    Then every request ends as "<state>"
    And the history shows no violation

    Examples:
      | verb    | delay | state     |
      | reserve | 0.9   | completed |
      | reserve | 3     | completed |
      | reserve | 8     | completed |
      | start   | 0.9   | completed |
      | sync    | 20    | completed |
      | answer  | 20    | completed |

  Scenario Outline: The only start command is delayed beyond its time limit
    When the next start command is delayed by <delay> s
    And "a" submits a "once" request "first" that runs 3 s
    Then "first" completes with its own answer
    And "first" was started as 1 attempt
    And the history shows no violation

    Examples:
      | delay |
      | 1.5   |
      | 3     |
      | 8     |
      | 20    |

  Scenario: The owner is cut off from everything except the workers
    When "a" submits 8 "match" requests that run 4 s
    And 2 s pass
    And the owner is cut off from the other nodes for 20 s
    And the owner is cut off from the store for 20 s
    And 30 s pass
    Then every request ends as "completed"
    And the history shows no violation

  Scenario: Commands that are delayed beyond the reservation
    When messages are delayed by up to 9 s for 20 s
    And "a" submits 6 "match" requests that run 2 s
    And 60 s pass
    Then the history shows no violation

  Scenario: A worker fails every task
    When worker w000 fails every task
    And "a" submits 2 "draft" requests a second that run 1 s for 20 s
    And 60 s pass
    Then the history shows no violation
