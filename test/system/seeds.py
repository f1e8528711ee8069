"""Seeds that once revealed a fault, each with a description of the fault."""

SEEDS = {
    1: "a cold engine was given more than it bears",
    8: "'not run' was said of a request whose retry was refused (engine down)",
    17: "'not run' was said of a request whose retry was refused (domain out)",
    59: "'not run' was said of a request whose retry was refused (withdrawn)",
}

# Seeds of the soak, which runs thirty steps per seed.
LONG_STEPS = 30
LONG_SEEDS = {
    10418: "an agent that found no entry in its whole grace lost its bills",
    10785: "an agent that found no entry in its whole grace lost its bills",
}
