Feature: Callers get the complete answers to their own requests, billed once

  Scenario: A graceful stop breaks no stream
    Given a fleet of 3 routers
    When callers stream "assistant" through all routers
    And router 2 is told to stop
    Then router 2 ends with exit code 0
    And no caller got an answer that is not its own
    And every answered request is billed once

  Scenario: A router is killed under load
    Given a fleet of 3 routers
    When callers stream "assistant" through all routers
    And router 3 is killed
    And some more requests are answered
    Then no caller got an answer that is not its own
    And every answered request is billed once

  Scenario: The log fails under load and returns
    Given a fleet of 3 routers
    When callers stream "assistant" through all routers
    And the log fails
    And some more requests are answered
    And the log returns
    And some more requests are answered
    Then every caller got its own whole answer
    And every answered request is billed once

  Scenario: An engine is killed under load
    Given a fleet of 3 routers
    When callers stream "small-1" through all routers
    And engine 1 is killed
    And some more requests are answered
    Then no caller got an answer that is not its own
    And every answered request is billed once

  Scenario: An engine that is leaving gets no new requests
    Given a fleet of 2 routers
    When engine 1 says that it is leaving
    And all routers know that 1 upstream is leaving
    And callers stream "small-1" through all routers
    Then every caller got its own whole answer
    And engine 1 received no request after all routers knew that it was leaving

  Scenario: A broken stream is resumed
    Given a fleet of 1 routers
    When engine 3 breaks its streams after 5 tokens
    And engine 4 breaks its streams after 5 tokens
    And the caller asks "large-1" through router 1
    Then the answer comes from "large-1"
