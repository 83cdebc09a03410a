Feature: What must hold when things fail

  Scenario: An acknowledged apply survives the kill of the leader
    Given a small deployment
    When version 2 is applied through n1
    And the leader is killed
    Then version 2 is in force on every running node within 10 s
    And version 3 can be applied through a running node
    And every running node answers a request

  Scenario: Two voters killed together lose nothing
    Given a small deployment
    When version 2 is applied through n2
    And n1 and n2 are killed
    And n1 and n2 are started
    Then version 2 is in force on every running node within 15 s
    And every running node answers a request

  Scenario: A lost disk is replaced, then a second VM is lost
    Given a small deployment
    When version 2 is applied through n1
    And a follower is killed and its disk lost
    And it is started
    Then it votes under a new identity within 20 s
    When another follower is killed
    Then version 3 can be applied through a running node
    And version 3 is in force on every running node within 10 s

  Scenario: A frozen leader comes back without disturbing anyone
    Given a small deployment
    When the leader is frozen
    And version 2 is applied through a running node
    And the frozen node goes on
    Then version 2 is in force on every running node within 10 s
    And the frozen node never showed an older version as fresh

  Scenario: Of two operators with equal versions one wins
    Given a small deployment
    When two operators apply version 2 at once through n1 and n3
    Then exactly one was accepted and the other was told so
    When the accepted file is sent again through n2
    Then it is accepted again
    And version 2 is in force on every running node within 10 s

  Scenario: A node without a quorum refuses rather than guesses a place
    Given a small deployment
    When n2 and n3 are killed
    Then n1 refuses with stale and not-run within 8 s
    And n1 is not ready
    When n2 is started
    Then n1 answers a request within 15 s

  Scenario: The owner of a pool is killed
    Given a small deployment
    When the owner of east/assist is killed
    Then a request for an adapter of east is answered within 15 s
    And no adapter in use was unloaded

  Scenario: The owner of a pool is frozen past its lease
    Given a small deployment
    When the owner of east/assist is frozen
    Then a request for an adapter of east is answered within 20 s
    When the frozen node goes on
    Then it orders nothing under its old epoch
    And no adapter in use was unloaded

  Scenario: A planned stop cuts no request in progress
    Given a small deployment
    When a stream of 3 s is begun through n1
    And n1 is asked to stop
    Then the stream ends whole
    And n1 stops with status 0

  Scenario: All nodes are restarted one after another under load
    Given a small deployment
    When requests are sent while each node is restarted
    Then every request was answered or truthfully refused
    And no adapter in use was unloaded

  Scenario: A runner is killed mid-stream
    Given a small deployment
    When a stream is begun on a runner and the runner is killed
    Then the stream ends with an error event
    And the connection does not end cleanly

  Scenario: A ticket's entry node is killed while it runs
    Given a small deployment
    When a ticket that takes 2 s is sent through n2 with a key
    And n2 is killed while the ticket runs
    Then the same ticket through n1 never runs again
    And in the end its outcome is unknown

  Scenario: A leaving runner gets no new work
    Given a small deployment
    When runner r1 is asked to leave during a long stream on it
    Then after 2 s no new request reaches r1
    And the long stream ends whole
