"""Routes from databases to groups, and the versions of them in force."""
