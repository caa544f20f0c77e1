Feature: P8 An accepted configuration is in force everywhere and never reverts

  Background:
    Given a fleet of 8 workers in racks of 4
    And team "a" with a guarantee of 2 gangs of 2 x 4 accelerators
    And the configuration is in force

  Scenario: A change is in force on all nodes within 4 s with one node frozen
    When node n3 is frozen for 12 s
    And an operator removes template "draft" through node n1
    And 4 s pass
    And "a" submits a "draft" request "first" that runs 1 s through node n1 without retries
    And "a" submits a "draft" request "second" that runs 1 s through node n2 without retries
    And 10 s pass
    And "a" submits a "draft" request "third" that runs 1 s through node n3 without retries
    Then every request ends as "not_run"
    And "third" was started as 0 attempts
    And the history shows no violation

  Scenario: A thawed node accepts no request under the old version
    When node n3 is frozen for 5 s
    And "a" submits a "draft" request "held" that runs 1 s through node n3 without retries
    And an operator removes template "draft" through node n1
    Then "held" ends as "not_run" with ran "no"
    And "held" was started as 0 attempts
    And the history shows no violation

  Scenario: An owner that is frozen during a drain starts nothing under the old version
    When "a" submits 8 "index" requests that run 4 s
    And 3 s pass
    And the owner is frozen for 9 s
    And an operator drains worker w001 through node n2
    And an operator drains worker w001 through node n1
    And "a" submits 8 "index" requests that run 4 s
    And 40 s pass
    Then the history shows no violation

  Scenario: An owner that has not received a drain claims nothing against it
    When "a" submits 20 "index" requests a second that run 0.5 s for 10 s
    And 3 s pass
    Then worker w001 has started a task
    When the owner is cut off from the other nodes for 20 s
    And an operator drains worker w001 through another node
    And 20 s pass
    Then worker w001 starts no task after the drain
    And the history shows no violation

  Scenario: Two operators publish at once
    When an operator publishes a change through node n1
    And an operator publishes a change through node n2
    And 4 s pass
    Then one publish is accepted and the other refused as a conflict

  Scenario Outline: Answers of the store are lost during a publish
    When at the next "config commit" the store loses its next <count> answers
    And an operator removes template "draft" through node n1
    And 20 s pass
    And "a" submits a "draft" request "first" that runs 1 s through node n2 without retries
    Then "first" ends as "not_run"
    And the last publish is accepted
    And the history shows no violation

    Examples:
      | count |
      | 1     |
      | 3     |
      | 6     |

  Scenario: A node that starts during an outage neither reverts nor accepts requests
    When an operator removes template "draft" through node n1
    And 3 s pass
    And the store is down for 20 s
    And node n3 is killed and restarted after 1 s
    And 6 s pass
    And "a" submits a "draft" request "first" that runs 1 s through node n3 without retries
    And 30 s pass
    Then "first" was started as 0 attempts
    And the history shows no violation

  Scenario: A node that starts during an outage receives the configuration from its peers
    When the store is down for 30 s
    And node n3 is killed and restarted after 1 s
    And 4 s pass
    And "a" submits a "draft" request "first" that runs 1 s through node n3 without retries
    And 6 s pass
    Then "first" is reported as "unknown"
    And the history shows no violation

  Scenario: A delayed announcement of an older version
    When the next config message is delayed by 8 s
    And an operator removes template "draft" through node n1
    And 2 s pass
    And an operator restores template "draft" through node n2
    And 10 s pass
    And "a" submits a "draft" request "first" that runs 1 s through node n3 without retries
    Then "first" completes with its own answer
    And the history shows no violation

  Scenario: Changes while all nodes are replaced
    When an operator removes template "draft" through node n1
    And 2 s pass
    And all nodes are replaced at once after 3 s
    And 15 s pass
    And "a" submits a "draft" request "first" that runs 1 s through node n2-new without retries
    Then "first" ends as "not_run"
    And the history shows no violation
