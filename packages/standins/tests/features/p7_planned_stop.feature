Feature: P7 A planned stop interrupts no request

  Background:
    Given a fleet of 8 workers in racks of 4
    And team "a" with a guarantee of 2 gangs of 2 x 4 accelerators
    And the configuration is in force

  Scenario Outline: A node stops with requests in flight
    When "a" submits 3 "match" requests a second that run 2 s for 10 s
    And 5.3 s pass
    And <who> stops as planned
    Then every request ends as "completed"
    And no started task ended early
    And the history shows no violation

    Examples:
      | who          |
      | the owner    |
      | another node |

  Scenario: The successor does not wait for a lease after a planned stop
    When the owner stops as planned
    And "a" submits a "match" request "first" that runs 1 s through another node
    Then "first" starts within 2 s
    And the history shows no violation

  Scenario Outline: The owner stops at a step
    When at the next "<step>" the owner stops as planned
    And "a" submits a "match" request "first" that runs 5 s
    Then "first" completes with its own answer
    And "first" was started as 1 attempt
    And no started task ended early
    And the history shows no violation

    Examples:
      | step             |
      | queued commit    |
      | reserve command  |
      | claimed commit   |
      | start command    |
      | running commit   |
      | answer command   |
      | stored answer    |
      | completed commit |

  Scenario: All nodes are replaced one after the other
    When "a" submits a "match" request "long" that runs 60 s
    And "a" submits 1 "draft" requests a second that run 2 s for 40 s
    And 5 s pass
    And all nodes are replaced one after the other
    And 50 s pass
    Then every request ends as "completed"
    And "long" was started as 1 attempt
    And no started task ended early
    And the history shows no violation

  Scenario: All nodes are replaced at once
    When "a" submits a "match" request "long" that runs 60 s
    And 5 s pass
    And all nodes are replaced at once after 3 s
    And 20 s pass
    Then "long" completes with its own answer
    And "long" was started as 1 attempt
    And no started task ended early
    And the history shows no violation

  Scenario: A planned stop while the store is down
    When "a" submits a "match" request "long" that runs 30 s
    And 5 s pass
    And the store is down for 4 s
    And the owner stops as planned
    Then "long" completes with its own answer
    And "long" was started as 1 attempt
    And the history shows no violation
