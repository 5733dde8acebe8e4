"""Small stand-ins of the systems that worksrail serves, with faults."""
