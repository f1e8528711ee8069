"""What a gateway knows from the platform's store, directly or through peers."""
