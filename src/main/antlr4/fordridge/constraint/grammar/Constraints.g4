// Placement constraints on the machines of services. docs/constraints.md defines each clause.
grammar Constraints;

file: constraint* EOF;

constraint: RULE name=ID ':' scope strength clause ';';

strength: REQUIRE | PREFER weight=NUMBER;

scope: ALL | selector (AND selector)*;

selector: field=(CUSTOMER | FLAVOUR | SERVICE) value (',' value)*;

clause
    : NEAR scope PER domain                                                   # affinity
    | APART scope PER domain                                                  # antiAffinity
    | SPREAD AT MOST limit=NUMBER (OF EACH SERVICE)? PER domain limitScope?   # spreadLimit
    | SPREAD WITHIN maxSkew=NUMBER (OF EACH SERVICE)? PER domain              # spreadSkew
    | ON predicate                                                            # machineLabels
    ;

domain: MACHINE | CELL | ZONE;

limitScope: OWN | OVERALL;

predicate
    : '(' predicate ')'                                            # parenthesized
    | NOT predicate                                                # negation
    | predicate AND predicate                                      # conjunction
    | predicate OR predicate                                       # disjunction
    | field=(KIND | CELL | ZONE | MACHINE) value (',' value)*      # label
    ;

value: ID | STRING | NUMBER;

RULE: 'rule';
REQUIRE: 'require';
PREFER: 'prefer';
ALL: 'all';
AND: 'and';
OR: 'or';
NOT: 'not';
NEAR: 'near';
APART: 'apart';
SPREAD: 'spread';
AT: 'at';
MOST: 'most';
WITHIN: 'within';
OF: 'of';
EACH: 'each';
PER: 'per';
ON: 'on';
OWN: 'own';
OVERALL: 'overall';
CUSTOMER: 'customer';
FLAVOUR: 'flavour';
SERVICE: 'service';
KIND: 'kind';
MACHINE: 'machine';
CELL: 'cell';
ZONE: 'zone';

NUMBER: [0-9]+;
ID: [A-Za-z_] [A-Za-z0-9_.-]*;
STRING: '"' ~["\r\n]* '"';
COMMENT: '#' ~[\r\n]* -> skip;
SPACE: [ \t\r\n]+ -> skip;
