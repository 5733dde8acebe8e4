"""A configuration that never returns to an older generation."""

from worksrail import Configuration
from worksrail.core.bundle import Bundle, Region, Zone, pack_bundle


def main() -> None:
    bundle = Bundle(
        'worksrail/1', 'x', (Region('north', 1),), (Zone('a', 'north'),), ()
    )
    digest = pack_bundle(bundle).digest
    configuration = Configuration()
    print(configuration.evaluate_head(2, digest, now=0).name)
    print(configuration.apply(2, digest, bundle, now=0.1))
    print(configuration.evaluate_head(1, 'older', now=1).name)
    print(configuration.apply(1, 'older', bundle, now=1))
    print(configuration.evaluate_head(2, 'other', now=2).name)
    print('in force:', configuration.generation)


if __name__ == '__main__':
    main()
