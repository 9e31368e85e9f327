//! The help text of the language, which the command-line tool prints.

/// A summary of all statements.
pub const SUMMARY: &str = "\
QUERIES
  show services | domains | workspaces | versions | upstreams | routes | moves | history | entries
       [of SERVICE] [in DOMAIN]
  why upstream NAME
  why move NAME

COMMANDS
  create service NAME [slots N] [cold N] [timeout LENGTH]
  create domain NAME
  create workspace NAME [weight N] [limit N]
  create version NAME of SERVICE
  create upstream NAME of SERVICE version VERSION in DOMAIN at ADDRESS:PORT
  create route METHOD|any /PREFIX of SERVICE idempotent|once
  set workspace NAME [weight N] [limit N]
  delete service|domain|workspace|upstream|move NAME
  delete version NAME of SERVICE
  delete route METHOD|any /PREFIX of SERVICE
  take out domain NAME [for LENGTH]
  bring back domain NAME
  move SERVICE from VERSION to VERSION in LENGTH | by TIME
  pause move NAME    resume move NAME    take back move NAME
  hold version NAME of SERVICE    release version NAME of SERVICE

LENGTH is 250ms, 30s, 20m, 2h or 1d. TIME is 2027-01-31T18:30Z.
";
