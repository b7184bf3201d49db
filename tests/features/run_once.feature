Feature: A call that may not be repeated runs at most once

  Scenario: A second send of an answered letter is refused as run
    Given a fleet of 3 routers
    When letter A is sent through router 1
    Then the letter is answered
    When letter A is sent through router 2
    Then the letter is refused and "ran"
    And letter A ran 1 time

  Scenario: A letter does not run while the log is down
    Given a fleet of 3 routers
    When the log fails
    And letter B is sent through router 1
    Then the letter is refused and "not_run"
    And letter B ran 0 times
    When the log returns
    Then router 1 answers "small-1"
    When letter B is sent through router 2
    Then the letter is answered
    And letter B ran 1 time

  Scenario: Lost answers of the log do not make a letter run twice
    Given a fleet of 3 routers
    When the log loses its next 2 answers
    And letter C is sent through router 1
    And letter C is sent through router 2
    Then letter C ran 1 time
