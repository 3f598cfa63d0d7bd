// Where services may run. See docs/constraints.md for what each rule means.
grammar Constraints;

file: rule_* EOF;

rule_: RULE name=ID ':' scope strength clause ';';

strength: REQUIRE | PREFER weight=NUMBER;

scope: ALL | selector (AND selector)*;

selector: field=(CUSTOMER | FLAVOUR | SERVICE) value (',' value)*;

clause
    : NEAR scope PER domain                                        # near
    | APART scope PER domain                                       # apart
    | SPREAD AT MOST most=NUMBER (OF EACH SERVICE)? PER domain reach? # most
    | SPREAD WITHIN skew=NUMBER (OF EACH SERVICE)? PER domain      # skew
    | ON predicate                                                 # on
    ;

domain: MACHINE | CELL | ZONE;

reach: OWN | OVERALL;

predicate
    : '(' predicate ')'                                            # nested
    | NOT predicate                                                # not
    | predicate AND predicate                                      # both
    | predicate OR predicate                                       # either
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
