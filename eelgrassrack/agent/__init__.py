"""The agent daemon, through which all requests reach its endpoint."""
