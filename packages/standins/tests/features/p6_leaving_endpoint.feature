Feature: P6 A leaving endpoint receives no new work

  Background:
    Given a fleet of 3 workers in racks of 3
    And the VM list lags 3 s
    And team "a" without a guarantee
    And the configuration is in force

  Scenario Outline: A worker is marked as leaving while the fleet is overloaded
    When "a" submits 5 "index" requests a second that run 0.8 s for 20 s
    And 5 s pass
    Then worker w001 has started a task
    When <mark>
    And 30 s pass
    Then the history shows no violation

    Examples:
      | mark                                            |
      | worker w001 is marked as leaving in the VM list |
      | worker w001 reports that it is leaving          |
      | an operator drains worker w001 through node n2  |

  Scenario: A worker is marked as leaving while the platform is down
    When "a" submits 5 "index" requests a second that run 0.8 s for 30 s
    And 4 s pass
    Then worker w001 has started a task
    When the store is down for 15 s
    And 2 s pass
    And worker w001 is marked as leaving in the VM list
    And 13.01 s pass
    And "a" submits 12 "index" requests that run 3 s
    And 30 s pass
    Then the history shows no violation

  Scenario: A drain while the owner fails
    When "a" submits 5 "index" requests a second that run 0.8 s for 20 s
    And 5 s pass
    And an operator drains worker w001 through node n2
    And 0.5 s pass
    And the owner is killed and restarted after 5 s
    And 30 s pass
    Then worker w001 has started a task
    And the history shows no violation

  Scenario: The successor of a killed owner learns that a worker reported leaving
    When "a" submits 5 "index" requests a second that run 0.8 s for 20 s
    And 5 s pass
    And worker w001 reports that it is leaving
    And the owner is killed and restarted after 5 s
    And 30 s pass
    Then worker w001 has started a task
    And the history shows no violation

  Scenario: A worker reports that it is leaving while the store is slow
    When "a" submits 5 "index" requests a second that run 0.8 s for 20 s
    And 5 s pass
    And the store is slow for 20 s
    And worker w001 reports that it is leaving
    And 40 s pass
    Then worker w001 has started a task
    And the history shows no violation
